#pragma once

#include "core/units.h"

#include <functional>
#include <memory>

namespace Ports {

/// Handle of a scheduled task; cancels the task when destroyed.
class Timer {
public:
    virtual ~Timer() = default;
    /// Does not stop a task that is already running.
    virtual auto cancel() -> void = 0;
};

/// Runs tasks on the threads of the process, immediately or after a delay.
class Scheduler {
public:
    using Task = std::function<void()>;

    virtual ~Scheduler() = default;
    virtual auto post(Task task) -> void = 0;
    [[nodiscard]] virtual auto after(Core::Duration delay, Task task) -> std::unique_ptr<Timer> = 0;
};

} // namespace Ports
