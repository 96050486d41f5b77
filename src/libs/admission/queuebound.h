#pragma once

#include "admission/demand.h"

#include <map>

namespace Admission {

/// Bounds the queues at the upstreams of a service that requests of different urgency share.
///
/// Answers the load of a burst of less urgent work: upstreams serve in the order of arrival, so that what queues there
/// delays all that comes later. A less urgent request may queue only as long as all more urgent ones can wait and
/// still be in time; what doesn't fit waits in the VM, in the right order.
class QueueBound {
public:
    /// Records a request of the urgency, with the time that it would take without waiting.
    auto record(const Urgency& urgency, Core::Duration targetLatency, Core::Duration work, Core::Instant now) -> void;
    /// Records that a request of the urgency found no room or is expected to be late. For a moment less urgent ones
    /// then only use free slots.
    auto recordShortage(const Urgency& urgency, Core::Instant now) -> void { m_lastShortage[urgency] = now; }
    /// Returns the number of requests per slot that may queue before one of the urgency, given the mean work of what
    /// queues there.
    [[nodiscard]] auto waitingPerSlot(const Urgency& urgency, Core::Duration meanWork, Core::Instant now) const
        -> double;

private:
    struct Tolerance {
        /// Time for which a request can wait and still be in time.
        Core::Duration wait {};
        Core::Instant seenAt;
    };

    std::map<Urgency, Tolerance> m_tolerances;
    std::map<Urgency, Core::Instant> m_lastShortage;
};

} // namespace Admission
