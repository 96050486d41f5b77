#pragma once

#include "core/units.h"
#include "forwarding/objectkey.h"

#include <unordered_map>

namespace Forwarding {

/// Decides when an object is worth bringing to one more upstream. Work for an object at an upstream that does not know
/// it takes longer once; staying away from a better placed upstream costs a little each time. The object is brought
/// there when the small costs have added up to the large one, which is never more than twice as dear as knowing the
/// future. Source: the ski rental problem.
class ReplicaPlanner {
public:
    /// Adds what a request lost because the object is not known at the better placed upstream.
    auto addRegret(const ObjectKey& object, Core::Duration loss, Core::Instant now) -> void;
    /// Whether the object's regret has reached the price of one more replica and replicas may be made now. Yes starts
    /// the object's regret anew.
    [[nodiscard]] auto tryReplicate(const ObjectKey& object, Core::Duration price, Core::Instant now) -> bool;

private:
    struct Regret {
        Core::Duration sum {};
        Core::Instant lastUse;
    };

    auto makeRoom(Core::Instant now) -> void;

    std::unordered_map<ObjectKey, Regret> m_regrets;
    Core::Instant m_nextReplica;
};

} // namespace Forwarding
