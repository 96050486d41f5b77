#pragma once

#include "app/configurationsink.h"
#include "app/servesettings.h"
#include "ledger/bookingexecutor.h"
#include "membership/rendezvousownership.h"
#include "membershippeer/gossippeer.h"
#include "replication/storereplicator.h"
#include "replicationpeer/replicapeer.h"

namespace App {

/// Tracks the fleet and the configuration: membership by gossip, and replicas of the store's objects.
class FleetState : private Membership::LocalStateSource {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::RandomSource& random;
        Ports::EventSink& events;
        Ports::ObjectStore& store;
        Ports::PeerTransport& transport;
        Ports::PeerRouter& router;
        Configuration::ConfigurationHolder& configuration;
        Fleet::FleetHolder& fleet;
    };
    /// Sources of the state that this member publishes to the others.
    struct LocalState {
        const Ledger::KeyPrefixSource& prefixes;
        const Fleet::LoadSource& loads;
    };

    FleetState(Dependencies dependencies, const ServeSettings& settings, const Core::Incarnation& incarnation);
    ~FleetState() override;

    [[nodiscard]] auto members() const -> const Membership::MembershipView& { return *m_gossip; }
    [[nodiscard]] auto ownership() const -> const Fleet::UpstreamOwnership& { return m_ownership; }
    [[nodiscard]] auto status() const -> const Replication::StatusSource& { return m_replicator; }

    /// Expects the addresses that this process has bound.
    auto start(const Core::Address& address, const Core::Address& peerAddress, LocalState localState) -> void;
    /// Announces to the other members that this process stops soon.
    auto announceLeaving() -> void;
    auto stop() -> void;

private:
    [[nodiscard]] auto keyPrefix() const -> std::string override;
    [[nodiscard]] auto loads() const -> std::vector<Fleet::ServiceLoad> override;

    Ports::PeerRouter& m_router;
    std::optional<LocalState> m_localState;
    MembershipPeer::GossipPeer m_gossipPeer;
    ReplicationPeer::ReplicaPeer m_replicaPeer;
    DocumentSink m_documentSink;
    FleetSink m_fleetSink;
    Replication::StoreReplicator m_replicator;
    std::shared_ptr<Membership::GossipMember> m_gossip;
    Membership::RendezvousOwnership m_ownership;
};

/// Returns the IP of the setting with the bound port, which differs from the setting's port if that is 0.
auto boundAddress(const Core::Address& setting, std::uint16_t port) -> Core::Address;

} // namespace App
