#pragma once

#include "core/units.h"

namespace Forwarding {

/// Weights for choosing an upstream. Durations are penalties that are added to the predicted response time.
struct PlacementSettings {
    /// Number of upstreams, in the object's order of preference, that may cache it. Upstreams cache only a limited
    /// number of objects, so a larger value would evict objects everywhere.
    std::uint32_t replicas = 3;
    /// Cost of one more replica, as a multiple of the extra service time of the first request for an uncached object.
    double replicaPrice = 8;
    /// Penalty for an upstream in another failure domain of the region, in addition to the network latency.
    Core::Millis domainBorderCost { 40 };
    /// Penalty for an upstream in another region, in addition to the network latency.
    Core::Millis regionBorderCost { 10 };
    /// Network round-trip time to another region.
    Core::Millis regionRoundTrip { 40 };
    /// Penalty for an upstream whose recent requests all failed; scaled by its failure share.
    Core::Millis failureCost { 300 };
    /// Number of requests that may queue at an upstream per slot.
    double waitingPerSlot = 1.0;
};

} // namespace Forwarding
