#pragma once

#include "configuration/objectfollower.h"
#include "steering/clientblockloader.h"
#include "steering/creditgrantor.h"
#include "steering/creditpool.h"
#include "steering/lookupservice.h"
#include "steering/relaydispatcher.h"
#include "steering/relayreceiver.h"

namespace Steering {

/// Owns and connects the components of one entry VM that decide where requests run: look-ups, relays and credits.
class SteeringSystem {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        Ports::RandomSource& random;
        Ports::Scheduler& scheduler;
        Ports::ObjectStore& store;
        Ports::EventSink& events;
        const Configuration::ConfigurationSource& configuration;
        const Fleet::FleetSource& fleet;
        const Membership::MembershipView& membership;
        const Fleet::LoadSource& ownLoads;
        Dispatch::Dispatcher& local;
        RelayPort& relays;
        CreditPort& credits;
        const ClientBlockDecoder& clientBlocks;
    };
    struct Identity {
        Core::EntryVmId vm;
        Core::FailureDomainId failureDomain;
        Core::RegionId region;
    };

    SteeringSystem(const Dependencies& dependencies, const Identity& identity);

    /// Starts to watch the table of client blocks.
    auto start() -> void;
    /// Stops granting credits and watching the table. Callers and relayed requests are still served.
    auto leave() -> void;
    /// Refuses new relayed requests; those in flight continue.
    auto refuseNew() -> void;

    [[nodiscard]] auto dispatcher() -> Dispatch::Dispatcher& { return m_dispatcher; }
    [[nodiscard]] auto relayHandler() -> RelayHandler& { return m_receiver; }
    [[nodiscard]] auto creditHandler() -> CreditHandler& { return m_grantor; }
    [[nodiscard]] auto lookups() -> Serving::LookupResolver& { return m_lookups; }

private:
    RelayCandidates m_candidates;
    LinkShares m_links;
    CreditPool m_creditPool;
    CreditGrantor m_grantor;
    RelayDispatcher m_dispatcher;
    RelayReceiver m_receiver;
    LookupTableHolder m_table;
    LookupService m_lookups;
    std::shared_ptr<ClientBlockLoader> m_loader;
    std::shared_ptr<Configuration::ObjectFollower> m_follower;
};

} // namespace Steering
