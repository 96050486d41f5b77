#pragma once

#include "core/units.h"
#include "forwarding/objectkey.h"

#include <unordered_map>

namespace Forwarding {

/// Decides when to replicate an object to one more upstream. The first request at an upstream that does not have the
/// object cached takes longer once, whereas avoiding a better placed upstream costs a little on each request. The
/// object is replicated when the accumulated small costs reach the one-time cost. This is the ski rental problem: the
/// total cost is at most twice that of an optimal decision made with knowledge of the future.
class ReplicaPlanner {
public:
    /// Adds the extra cost of a request that avoided the better placed upstream because the object is not cached there.
    auto addExtraCost(const ObjectKey& object, Core::Duration extraCost, Core::Instant now) -> void;
    /// Returns true if the object's accumulated cost has reached the cost of one more replica and the interval since
    /// the last new replica has elapsed. In that case the accumulated cost is reset.
    [[nodiscard]] auto tryReplicate(const ObjectKey& object, Core::Duration replicaCost, Core::Instant now) -> bool;

private:
    struct AccumulatedCost {
        Core::Duration total {};
        Core::Instant lastUse;
    };

    auto evictEntries(Core::Instant now) -> void;

    std::unordered_map<ObjectKey, AccumulatedCost> m_accumulatedCosts;
    Core::Instant m_nextReplica;
};

} // namespace Forwarding
