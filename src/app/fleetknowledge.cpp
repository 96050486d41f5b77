#include "app/fleetknowledge.h"

namespace App {

namespace {

    auto localVm(const ServeSettings& settings) -> Fleet::EntryVm
    {
        return { settings.id, settings.failureDomain, settings.region, settings.listen, settings.peerListen };
    }

} // namespace

FleetState::FleetState(Collaborators collaborators, const ServeSettings& settings, const Core::Incarnation& incarnation)
    : m_router(collaborators.router)
    , m_gossipPeer(collaborators.transport)
    , m_replicaPeer(collaborators.transport)
    , m_documentSink(collaborators.configuration, collaborators.events)
    , m_fleetSink(collaborators.fleet, collaborators.events)
    , m_spreader({ collaborators.clock, collaborators.scheduler, collaborators.store, collaborators.events,
                     m_replicaPeer, m_documentSink, m_fleetSink, collaborators.fleet },
          { settings.id, settings.failureDomain, settings.peers })
    , m_gossip(std::make_shared<Membership::GossipMember>(
          Membership::GossipMember::Collaborators { collaborators.clock, collaborators.scheduler, collaborators.random,
              collaborators.events, m_gossipPeer, collaborators.fleet, *this, m_spreader },
          Membership::GossipMember::Identity { localVm(settings), incarnation, settings.peers }))
    , m_ownership(*m_gossip, collaborators.clock, settings.id, settings.failureDomain)
{
    m_spreader.attach(m_gossip);
}

FleetState::~FleetState() = default;

auto FleetState::start(const Core::Address& address, const Core::Address& peerAddress, LocalState localState) -> void
{
    m_localState.emplace(localState);
    m_gossip->setAddresses(address, peerAddress);
    MembershipPeer::registerGossipHandlers(m_router, *m_gossip);
    SpreadPeer::registerReplicaHandlers(m_router, m_spreader);
    m_gossip->start();
    m_spreader.start();
}

auto FleetState::announceLeaving() -> void { m_gossip->announceLeaving(); }

auto FleetState::stop() -> void
{
    m_spreader.stop();
    m_gossip->stop();
}

auto FleetState::keyPrefix() const -> std::string
{
    return m_localState ? m_localState->prefixes.currentPrefix() : std::string();
}

auto FleetState::loads() const -> std::vector<Fleet::ServiceLoad>
{
    return m_localState ? m_localState->loads.serviceLoads() : std::vector<Fleet::ServiceLoad>();
}

auto boundAddress(const Core::Address& setting, std::uint16_t port) -> Core::Address
{
    const auto& text = setting.value();
    return Core::Address(text.substr(0, text.rfind(':') + 1) + std::to_string(port));
}

} // namespace App
