#include "forwardinghost/fleetsources.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace ForwardingHost {

auto FleetSources::ranking() const -> std::vector<StoreSync::SourceCandidate>
{
    std::vector<StoreSync::SourceCandidate> candidates;
    for (const auto& entry : m_fleet.regionalRanking()) {
        candidates.push_back(
            { entry.peers, entry.id == m_settings.id, entry.failureDomain == m_settings.failureDomain });
    }
    return candidates;
}

auto FleetSources::knownPeers() const -> std::vector<Core::Address>
{
    auto peers = m_fleet.peerAddresses();
    return peers.empty() ? m_settings.seeds : peers;
}

auto FleetSources::regionalPeers() const -> std::vector<Core::Address>
{
    auto peers = m_fleet.regionalPeerAddresses();
    if (peers.empty())
        return peers;
    // Entry VMs that start together begin with different ones.
    const auto first = Fleet::rendezvousScore(m_settings.region.value(), m_settings.id.value()) % peers.size();
    std::rotate(peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(first), peers.end());
    return peers;
}

} // namespace ForwardingHost
