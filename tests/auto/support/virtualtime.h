#pragma once

#include "ports/clock.h"
#include "ports/scheduler.h"

#include <map>
#include <memory>

namespace TestSupport {

/// Clock and scheduler of discrete events: time moves only from one task to the next, so that a run can be repeated
/// exactly. For one thread.
class VirtualTime : public Ports::Clock, public Ports::Scheduler {
public:
    [[nodiscard]] auto now() const -> Core::Instant override { return m_now; }
    [[nodiscard]] auto wallTime() const -> Core::WallTime override { return Core::WallTime(m_now.time_since_epoch()); }
    auto post(Task task) -> void override;
    [[nodiscard]] auto after(Core::Duration delay, Task task) -> std::unique_ptr<Ports::Timer> override;

    /// Like after(), without a timer to cancel it.
    auto schedule(Core::Duration delay, Task task) -> void;
    /// Runs what is due up to the instant, in the order of time and then of scheduling.
    auto runUntil(Core::Instant end) -> void;
    auto runFor(Core::Duration duration) -> void { runUntil(m_now + duration); }

private:
    using Position = std::pair<Core::Instant, std::uint64_t>;
    using Tasks = std::map<Position, Task>;
    class VirtualTimer;

    auto add(Core::Duration delay, Task task) -> Position;

    /// Decisions must not take the zero instant for "never".
    Core::Instant m_now { Core::Millis(1000) };
    std::uint64_t m_nextSequence = 0;
    std::shared_ptr<Tasks> m_tasks = std::make_shared<Tasks>();
};

} // namespace TestSupport
