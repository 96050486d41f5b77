#include "timeline/hybridlogicalclock.h"

#include <algorithm>

namespace Timeline {

HybridLogicalClock::HybridLogicalClock(const Ports::Clock& clock)
    : m_clock(clock)
{
}

auto HybridLogicalClock::stamp() -> Core::HybridTime
{
    const auto wall = m_clock.wallTime();
    const std::lock_guard lock(m_mutex);
    if (wall > m_last.wall)
        m_last = { wall, 0 };
    else
        ++m_last.logical;
    return m_last;
}

auto HybridLogicalClock::observe(const Core::HybridTime& remote) -> void
{
    if (remote.wall > m_clock.wallTime() + maximumClockLead)
        return;
    const std::lock_guard lock(m_mutex);
    m_last = std::max(m_last, remote);
}

} // namespace Timeline
