#include "forwardinghost/fleetsources.h"

namespace ForwardingHost {

auto FleetSources::candidates(const std::vector<EntryFleet::EntryVmEntry>& entries) const
    -> std::vector<StoreSync::SourceCandidate>
{
    std::vector<StoreSync::SourceCandidate> candidates;
    for (const auto& entry : entries) {
        candidates.push_back(
            { entry.peers, entry.id == m_settings.id, entry.failureDomain == m_settings.failureDomain });
    }
    return candidates;
}

auto FleetSources::ranking() const -> std::vector<StoreSync::SourceCandidate>
{
    return candidates(m_fleet.regionalRanking());
}

auto FleetSources::knownRanking() const -> std::vector<StoreSync::SourceCandidate>
{
    return candidates(m_fleet.knownRanking());
}

auto FleetSources::knownPeers() const -> std::vector<Core::Address>
{
    auto peers = m_fleet.peerAddresses();
    return peers.empty() ? m_settings.seeds : peers;
}

} // namespace ForwardingHost
