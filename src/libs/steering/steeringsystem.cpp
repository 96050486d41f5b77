#include "steering/steeringsystem.h"

namespace Steering {

SteeringSystem::SteeringSystem(const Collaborators& to, const Identity& identity)
    : m_candidates(to.membership, to.clock, identity.vm)
    , m_links(to.configuration, to.fleet, identity.region)
    , m_creditBook(
          { to.clock, to.configuration, m_candidates, m_links, to.credits }, identity.failureDomain, identity.region)
    , m_grantor({ to.clock, to.random, to.configuration, to.ownLoads }, identity.failureDomain)
    , m_dispatcher({ to.clock, to.random, to.configuration, m_candidates, to.ownLoads, to.local, to.relays,
                       m_creditBook, to.events },
          identity.failureDomain)
    , m_receiver({ to.clock, to.configuration, to.local, m_grantor }, identity.failureDomain)
    , m_lookups({ to.clock, to.random, to.configuration, to.fleet, to.membership, m_table }, identity.failureDomain,
          identity.region)
    , m_loader(std::make_shared<ClientBlockLoader>(
          ClientBlockLoader::Collaborators { to.store, to.scheduler, to.events, to.clientBlocks, m_table }))
    , m_follower(
          std::make_shared<Configuration::ObjectFollower>(to.store, to.scheduler, ClientBlockLoader::manifestName,
              [loader = m_loader](const Ports::StoredObject& object) { loader->takeManifest(object); }))
{
}

auto SteeringSystem::start() -> void { m_follower->start(); }

auto SteeringSystem::leave() -> void
{
    m_grantor.stopGranting();
    m_follower->stop();
    m_loader->stop();
}

auto SteeringSystem::refuseNew() -> void { m_receiver.refuseNew(); }

} // namespace Steering
