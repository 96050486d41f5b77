#pragma once

#include "ports/clock.h"
#include "ports/scheduler.h"

#include <memory>
#include <mutex>
#include <optional>

namespace Dispatch {

/// Runs a task at the earliest of the requested times.
class WakeTimer : public std::enable_shared_from_this<WakeTimer> {
public:
    WakeTimer(const Ports::Clock& clock, Ports::Scheduler& scheduler, Ports::Scheduler::Task task);

    /// Requests a run at the given time. Has no effect if the timer is armed for the same or an earlier time.
    auto arm(Core::Instant when) -> void;

private:
    auto fire(Core::Instant when) -> void;

    const Ports::Clock& m_clock;
    Ports::Scheduler& m_scheduler;
    const Ports::Scheduler::Task m_task;
    std::mutex m_mutex;
    std::optional<Core::Instant> m_armedFor;
    std::unique_ptr<Ports::Timer> m_timer;
};

} // namespace Dispatch
