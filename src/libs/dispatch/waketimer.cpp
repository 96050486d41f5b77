#include "dispatch/waketimer.h"

#include <algorithm>

namespace Dispatch {

WakeTimer::WakeTimer(const Ports::Clock& clock, Ports::Scheduler& scheduler, Ports::Scheduler::Task task)
    : m_clock(clock)
    , m_scheduler(scheduler)
    , m_task(std::move(task))
{
}

auto WakeTimer::arm(Core::Instant when) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_armedFor && *m_armedFor <= when)
            return;
        m_armedFor = when;
    }
    const auto delay = std::max(Core::Duration::zero(), when - m_clock.now());
    auto timer = m_scheduler.after(delay, [weak = weak_from_this(), when] {
        if (const auto self = weak.lock())
            self->fire(when);
    });
    const std::lock_guard lock(m_mutex);
    // If another thread has armed an earlier time in between, its timer is kept.
    if (m_armedFor == when)
        std::swap(m_timer, timer);
}

auto WakeTimer::fire(Core::Instant when) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_armedFor != when)
            return;
        m_armedFor.reset();
    }
    m_task();
}

} // namespace Dispatch
