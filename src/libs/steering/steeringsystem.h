#pragma once

#include "configuration/objectfollower.h"
#include "steering/clientblockloader.h"
#include "steering/creditbook.h"
#include "steering/creditgrantor.h"
#include "steering/lookupservice.h"
#include "steering/relaydispatcher.h"
#include "steering/relayreceiver.h"

namespace Steering {

/// Everything of one entry VM that decides where requests go: look-ups, relays and credits, connected.
class SteeringSystem {
public:
    struct Collaborators {
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

    SteeringSystem(const Collaborators& collaborators, const Identity& identity);

    /// Begins to follow the table of client blocks.
    auto start() -> void;
    /// Grants no more credits and follows no table; callers and relays are still served.
    auto leave() -> void;
    /// Takes no more relayed requests; those in flight go on.
    auto refuseNew() -> void;

    [[nodiscard]] auto dispatcher() -> Dispatch::Dispatcher& { return m_dispatcher; }
    [[nodiscard]] auto relayHandler() -> RelayHandler& { return m_receiver; }
    [[nodiscard]] auto creditHandler() -> CreditHandler& { return m_grantor; }
    [[nodiscard]] auto lookups() -> Serving::LookupDecision& { return m_lookups; }

private:
    RelayCandidates m_candidates;
    LinkShares m_links;
    CreditBook m_creditBook;
    CreditGrantor m_grantor;
    RelayDispatcher m_dispatcher;
    RelayReceiver m_receiver;
    LookupTableHolder m_table;
    LookupService m_lookups;
    std::shared_ptr<ClientBlockLoader> m_loader;
    std::shared_ptr<Configuration::ObjectFollower> m_follower;
};

} // namespace Steering
