#pragma once

#include "ports/clock.h"
#include "ports/scheduler.h"

#include <map>
#include <memory>

namespace TestSupport {

/// Clock and scheduler of a discrete event simulation: time advances only from one task to the next, so that runs are
/// reproducible. Not thread-safe.
class VirtualTime : public Ports::Clock, public Ports::Scheduler {
public:
    [[nodiscard]] auto now() const -> Core::Instant override { return m_now; }
    [[nodiscard]] auto wallTime() const -> Core::WallTime override { return Core::WallTime(m_now.time_since_epoch()); }
    auto post(Task task) -> void override;
    [[nodiscard]] auto after(Core::Duration delay, Task task) -> std::unique_ptr<Ports::Timer> override;

    /// Runs the task after the delay, like after(), but cannot be cancelled.
    auto schedule(Core::Duration delay, Task task) -> void;
    /// Runs the tasks that are due up to the given time, ordered by time and then by the order of scheduling.
    auto runUntil(Core::Instant end) -> void;
    auto runFor(Core::Duration duration) -> void { runUntil(m_now + duration); }

private:
    using Position = std::pair<Core::Instant, std::uint64_t>;
    using Tasks = std::map<Position, Task>;
    class VirtualTimer;

    auto add(Core::Duration delay, Task task) -> Position;

    /// Does not start at zero, so that code under test cannot confuse the start time with an unset time.
    Core::Instant m_now { Core::Millis(1000) };
    std::uint64_t m_nextSequence = 0;
    std::shared_ptr<Tasks> m_tasks = std::make_shared<Tasks>();
};

} // namespace TestSupport
