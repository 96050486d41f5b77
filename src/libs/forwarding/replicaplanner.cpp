#include "forwarding/replicaplanner.h"

namespace Forwarding {

namespace {

    /// Time between two new replicas: all of a region's requests must not change their region at the same time.
    constexpr Core::Millis replicaInterval { 600 };
    constexpr std::size_t maximumObjects = 4096;
    /// The regret of an object that was not asked for is forgotten after this time.
    constexpr Core::Millis regretLifetime { 30'000 };

} // namespace

auto ReplicaPlanner::addRegret(const ObjectKey& object, Core::Duration loss, Core::Instant now) -> void
{
    if (m_regrets.size() >= maximumObjects && !m_regrets.contains(object))
        makeRoom(now);
    auto& regret = m_regrets[object];
    regret.sum += loss;
    regret.lastUse = now;
}

auto ReplicaPlanner::makeRoom(Core::Instant now) -> void
{
    std::erase_if(m_regrets, [now](const auto& item) { return now - item.second.lastUse > regretLifetime; });
    if (m_regrets.size() >= maximumObjects)
        m_regrets.clear();
}

auto ReplicaPlanner::tryReplicate(const ObjectKey& object, Core::Duration price, Core::Instant now) -> bool
{
    const auto found = m_regrets.find(object);
    if (found == m_regrets.end() || found->second.sum < price || now < m_nextReplica)
        return false;
    found->second.sum = {};
    m_nextReplica = now + replicaInterval;
    return true;
}

} // namespace Forwarding
