#pragma once

#include "core/units.h"

#include <map>

namespace Admission {

/// Bounds the queues at the upstreams of a service that kinds of different urgency share.
///
/// Answers the load of a burst of less urgent work: upstreams serve in the order of arrival, so that what queues there
/// delays all that comes later. A less urgent request may queue only as long as all more urgent kinds can wait and
/// still be in time; what doesn't fit waits in the VM, in the right order.
class QueueBound {
public:
    /// Records a request of the kind, with the time that it would take without waiting.
    auto record(int kind, Core::Duration targetLatency, Core::Duration work, Core::Instant now) -> void;
    /// Records that a request of the kind found no room or is expected to be late. For a moment less urgent kinds then
    /// only use free slots.
    auto recordShortage(int kind, Core::Instant now) -> void { m_lastShortage[kind] = now; }
    /// Returns the number of requests per slot that may queue before one of the kind, given the mean work of what
    /// queues there.
    [[nodiscard]] auto waitingPerSlot(int kind, Core::Duration meanWork, Core::Instant now) const -> double;

private:
    struct Kind {
        Core::Duration tolerance {};
        Core::Instant seenAt;
    };

    std::map<int, Kind> m_kinds;
    std::map<int, Core::Instant> m_lastShortage;
};

} // namespace Admission
