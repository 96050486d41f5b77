#include "steering/steeringsystem.h"

namespace Steering {

SteeringSystem::SteeringSystem(const Dependencies& dependencies, const Identity& identity)
    : m_candidates(dependencies.membership, dependencies.clock, identity.vm)
    , m_links(dependencies.configuration, dependencies.fleet, identity.region)
    , m_creditPool({ dependencies.clock, dependencies.configuration, m_candidates, m_links, dependencies.credits },
          identity.failureDomain, identity.region)
    , m_grantor({ dependencies.clock, dependencies.random, dependencies.configuration, dependencies.ownLoads },
          identity.failureDomain)
    , m_dispatcher(
          { dependencies.clock, dependencies.random, dependencies.configuration, m_candidates, dependencies.ownLoads,
              dependencies.local, dependencies.relays, m_creditPool, dependencies.events },
          identity.failureDomain)
    , m_receiver(
          { dependencies.clock, dependencies.configuration, dependencies.local, m_grantor }, identity.failureDomain)
    , m_lookups({ dependencies.clock, dependencies.random, dependencies.configuration, dependencies.fleet,
                    dependencies.membership, m_table },
          identity.failureDomain, identity.region)
    , m_loader(std::make_shared<ClientBlockLoader>(ClientBlockLoader::Dependencies {
          dependencies.store, dependencies.scheduler, dependencies.events, dependencies.clientBlocks, m_table }))
    , m_follower(std::make_shared<Configuration::ObjectFollower>(dependencies.store, dependencies.scheduler,
          ClientBlockLoader::manifestName,
          [loader = m_loader](const Ports::StoredObject& object) { loader->loadTable(object); }))
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
