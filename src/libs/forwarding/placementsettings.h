#pragma once

#include "core/units.h"

namespace Forwarding {

/// Weights of the choice of an upstream. Durations are added to the predicted time of an answer.
struct PlacementSettings {
    /// Upstreams in an object's order that it may be brought to. Each upstream remembers only some objects, so more
    /// would make them all forget.
    std::uint32_t replicas = 3;
    /// Price of one more replica, as a multiple of the time that the first work for an object takes longer.
    double replicaPrice = 8;
    /// For an upstream in another failure domain of the region, beyond the network's latency.
    Core::Millis domainBorderCost { 40 };
    /// For an upstream in another region, beyond the network's latency.
    Core::Millis regionBorderCost { 10 };
    /// Round trip to another region.
    Core::Millis regionRoundTrip { 40 };
    /// For an upstream that failed all of its last requests; less by the share that succeeded.
    Core::Millis failureCost { 300 };
    /// Requests that may wait at an upstream for each of its slots.
    double waitingPerSlot = 1.0;
};

} // namespace Forwarding
