#include "forwarding/replicaplanner.h"

namespace Forwarding {

namespace {

    /// Minimum time between two new replicas, so that the requests of a region do not all move to another region at
    /// once.
    constexpr Core::Millis replicaInterval { 600 };
    constexpr std::size_t maximumObjects = 4096;
    /// Accumulated costs expire after this time without a request for the object.
    constexpr Core::Millis costLifetime { 30'000 };

} // namespace

auto ReplicaPlanner::addExtraCost(const ObjectKey& object, Core::Duration extraCost, Core::Instant now) -> void
{
    if (m_accumulatedCosts.size() >= maximumObjects && !m_accumulatedCosts.contains(object))
        evictEntries(now);
    auto& accumulated = m_accumulatedCosts[object];
    accumulated.total += extraCost;
    accumulated.lastUse = now;
}

auto ReplicaPlanner::evictEntries(Core::Instant now) -> void
{
    std::erase_if(m_accumulatedCosts, [now](const auto& item) { return now - item.second.lastUse > costLifetime; });
    if (m_accumulatedCosts.size() >= maximumObjects)
        m_accumulatedCosts.clear();
}

auto ReplicaPlanner::tryReplicate(const ObjectKey& object, Core::Duration replicaCost, Core::Instant now) -> bool
{
    const auto found = m_accumulatedCosts.find(object);
    if (found == m_accumulatedCosts.end() || found->second.total < replicaCost || now < m_nextReplica)
        return false;
    found->second.total = {};
    m_nextReplica = now + replicaInterval;
    return true;
}

} // namespace Forwarding
