#pragma once

#include "ports/clock.h"
#include "ports/eventsink.h"

#include <atomic>
#include <mutex>

namespace ForwardingHost {

/// Records how late this process handles its events. A large delay means that the VM has less processor time than its
/// work needs, so that requests and changes of the store are read late as well.
class DelayMonitor {
public:
    DelayMonitor(const Ports::Clock& clock, Ports::EventSink& events);

    /// Records that an event which was due at the given instant is handled now.
    auto recordHandled(Core::Instant due) -> void;
    /// Returns true if events were handled so late lately that the VM lacks processor time.
    [[nodiscard]] auto isBusy() const -> bool;
    /// Returns the largest delay since the start.
    [[nodiscard]] auto highestDelay() const -> Core::Millis { return m_highestDelay; }

private:
    const Ports::Clock& m_clock;
    Ports::EventSink& m_events;
    mutable std::mutex m_mutex;
    Core::Instant m_nextRecord;
    Core::Instant m_busyUntil;
    std::atomic<Core::Millis> m_highestDelay { Core::Millis(0) };
};

} // namespace ForwardingHost
