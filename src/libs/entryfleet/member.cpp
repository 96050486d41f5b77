#include "entryfleet/member.h"

#include <algorithm>
#include <utility>

namespace EntryFleet {

Member::Member(const EntryVmEntry& entry, Core::Instant now)
    : m_entry(entry)
{
    track(entry.start, now);
}

auto Member::list(const EntryVmEntry& entry, Core::Instant now) -> void
{
    // An earlier start is an old registration: the store has not taken that of the later process yet.
    if (entry.start > m_start)
        track(entry.start, now);
    m_entry = entry;
    m_isListed = true;
}

auto Member::track(Core::ProcessStartId start, Core::Instant now) -> void
{
    m_start = start;
    m_knownSince = now;
    m_lastHeartbeat = now - heartbeatTimeout;
    m_isLeaving = false;
    m_isBusy = false;
}

auto Member::isCurrent(Core::ProcessStartId start, Core::Instant now) const -> bool
{
    if (start >= m_start)
        return true;
    // A heartbeat of an earlier process can arrive late. The clock of an entry VM can also step back before its process
    // restarts; then the later start stays silent.
    return now - std::max(m_knownSince, m_lastHeartbeat) >= heartbeatTimeout;
}

auto Member::receive(const Heartbeat& heartbeat, Core::Instant now) -> bool
{
    if (!isCurrent(heartbeat.start, now))
        return false;
    if (heartbeat.start != m_start)
        track(heartbeat.start, now);
    m_lastHeartbeat = now;
    m_isLeaving = heartbeat.isLeaving;
    m_isBusy = heartbeat.isBusy;
    return true;
}

auto Member::excludePause(Core::Duration gap, Core::Instant now) -> void
{
    m_lastHeartbeat = std::min(now, m_lastHeartbeat + gap);
}

auto Member::setWasAlive(bool isAlive) -> bool { return std::exchange(m_wasAlive, isAlive) != isAlive; }

auto Member::isAlive(Core::Instant observedUntil) const -> bool
{
    return observedUntil - m_lastHeartbeat < heartbeatTimeout;
}

} // namespace EntryFleet
