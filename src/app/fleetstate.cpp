#include "app/fleetstate.h"

namespace App {

namespace {

    auto localVm(const ServeSettings& settings) -> Fleet::EntryVm
    {
        return { settings.id, settings.failureDomain, settings.region, settings.listen, settings.peerListen };
    }

} // namespace

FleetState::FleetState(Dependencies dependencies, const ServeSettings& settings, const Core::Incarnation& incarnation)
    : m_router(dependencies.router)
    , m_gossipPeer(dependencies.transport)
    , m_replicaPeer(dependencies.transport)
    , m_documentSink(dependencies.configuration, dependencies.events)
    , m_fleetSink(dependencies.fleet, dependencies.events)
    , m_replicator({ dependencies.clock, dependencies.scheduler, dependencies.store, dependencies.events, m_replicaPeer,
                       m_documentSink, m_fleetSink, dependencies.fleet },
          { settings.id, settings.failureDomain, settings.peers })
    , m_gossip(std::make_shared<Membership::GossipMember>(
          Membership::GossipMember::Dependencies { dependencies.clock, dependencies.scheduler, dependencies.random,
              dependencies.events, m_gossipPeer, dependencies.fleet, *this, m_replicator },
          Membership::GossipMember::Identity { localVm(settings), incarnation, settings.peers }))
    , m_ownership(*m_gossip, dependencies.clock, settings.id, settings.failureDomain)
{
    m_replicator.attach(m_gossip);
}

FleetState::~FleetState() = default;

auto FleetState::start(const Core::Address& address, const Core::Address& peerAddress, LocalState localState) -> void
{
    m_localState.emplace(localState);
    m_gossip->setAddresses(address, peerAddress);
    MembershipPeer::registerGossipHandlers(m_router, *m_gossip);
    ReplicationPeer::registerReplicaHandlers(m_router, m_replicator);
    m_gossip->start();
    m_replicator.start();
}

auto FleetState::announceLeaving() -> void { m_gossip->announceLeaving(); }

auto FleetState::stop() -> void
{
    m_replicator.stop();
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
