#include "forwardinghost/delaymonitor.h"

#include <algorithm>

namespace ForwardingHost {

namespace {

    /// Delays below this are usual on a VM with a small share of a processor core.
    constexpr Core::Millis recordedDelay { 200 };
    /// Limits the log lines of a process that is late for a long time.
    constexpr Core::Millis recordInterval { 1000 };
    /// A VM counts as busy for this time, so that callers are not sent back to it at once.
    constexpr Core::Millis busyTime { 5000 };

} // namespace

DelayMonitor::DelayMonitor(const Ports::Clock& clock, Ports::EventSink& events)
    : m_clock(clock)
    , m_events(events)
{
}

auto DelayMonitor::recordHandled(Core::Instant due) -> void
{
    const auto now = m_clock.now();
    const auto delay = std::chrono::duration_cast<Core::Millis>(now - due);
    {
        const std::lock_guard lock(m_mutex);
        m_highestDelay = std::max(m_highestDelay.load(), delay);
        if (delay < recordedDelay)
            return;
        m_busyUntil = now + busyTime;
        if (now < m_nextRecord)
            return;
        m_nextRecord = now + recordInterval;
    }
    m_events.record({ Ports::EventKind("process.delayed"), {}, { { "delayMs", std::to_string(delay.count()) } } });
}

auto DelayMonitor::isBusy() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_clock.now() < m_busyUntil;
}

} // namespace ForwardingHost
