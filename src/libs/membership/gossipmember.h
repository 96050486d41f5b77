#pragma once

#include "fleet/fleetholder.h"
#include "membership/gossip.h"
#include "membership/gossiptiming.h"
#include "membership/membertable.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/randomsource.h"
#include "ports/scheduler.h"

#include <map>
#include <memory>
#include <mutex>

namespace Membership {

/// Source of the state that a member publishes about itself besides its identity. Thread-safe.
class LocalStateSource {
public:
    virtual ~LocalStateSource() = default;
    [[nodiscard]] virtual auto keyPrefix() const -> std::string = 0;
    [[nodiscard]] virtual auto loads() const -> std::vector<Fleet::ServiceLoad> = 0;
};

/// Runs the gossip protocol for one entry VM: heartbeats with suspicion and refutation inside its failure domain,
/// anti-entropy exchange of records by digest, and, on a few delegates, exchange with other failure domains. Follows
/// SWIM (Das, Gupta, Motivala 2002), with probes of ring successors to bound the detection time, and anti-entropy for
/// bulk traffic.
class GossipMember : public MembershipView, public GossipReceiver, public std::enable_shared_from_this<GossipMember> {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::RandomSource& random;
        Ports::EventSink& events;
        GossipPort& port;
        const Fleet::FleetSource& fleet;
        const LocalStateSource& localState;
        VersionExchange& versions;
    };
    struct Identity {
        Fleet::EntryVm vm;
        Core::Incarnation incarnation;
        /// Peers to contact in addition to those of the fleet list.
        std::vector<Core::Address> seeds;
    };

    GossipMember(Dependencies dependencies, Identity identity, GossipTiming timing = {});

    /// Replaces the addresses of the identity, for a process whose ports are assigned when it binds them. Must be
    /// called before start().
    auto setAddresses(const Core::Address& address, const Core::Address& peerAddress) -> void;
    auto start() -> void;
    auto stop() -> void;
    /// Announces that this member is about to stop, so that look-up answers exclude it.
    auto announceLeaving() -> void;
    /// Sends the local versions and urgent records to a few members without waiting for the next round.
    auto pushNow() -> void;

    [[nodiscard]] auto members() const -> std::vector<Member> override;
    [[nodiscard]] auto find(const Core::EntryVmId& vm) const -> std::optional<Member> override;

    auto onProbe(const Gossip& gossip) -> Gossip override;
    auto onProbeThrough(const Core::Address& target, const Gossip& gossip, GossipPort::Callback respond)
        -> void override;
    auto onExchange(const Gossip& gossip) -> Gossip override;

private:
    struct Schedule {
        std::unique_ptr<Ports::Timer> timer;
        std::unique_ptr<Ports::Timer> pushTimer;
        Core::Instant nextRefresh;
        Core::Instant nextExchange;
        Core::Instant nextSeedContact;
        Core::Instant nextDomainExchange;
        std::size_t domainCursor = 0;
        bool isStopped = false;
    };

    auto runRound() -> void;
    auto scheduleRound(Core::Duration delay) -> void;
    auto schedulePush() -> void;
    auto probePeers(const std::vector<MemberRecord>& peers) -> void;
    auto probe(const MemberRecord& target) -> void;
    auto probe(const MemberRecord& target, std::function<void()> onFailure) -> void;
    auto probeIndirectly(const MemberRecord& target) -> void;
    auto suspect(const MemberRecord& target) -> void;
    /// Probes a member of another failure domain a second time before suspecting it, since no relays are available.
    auto confirmUnreachable(const MemberRecord& target) -> void;
    auto exchangeWith(const Core::Address& peer) -> void;
    auto exchangeWithDomain(const Core::FailureDomainId& domain) -> void;
    auto exchangeIfDue(const std::vector<MemberRecord>& peers, Core::Instant now) -> void;
    auto contactSeedIfDue(Core::Instant now) -> void;
    auto contactDomainsIfDue(const std::vector<MemberRecord>& peers, Core::Instant now) -> void;
    auto expire(Core::Instant now) -> void;

    auto refreshOwnRecord(bool force) -> void;
    /// Refutes a claim of another member about this one, if necessary. Returns true if the own record changed.
    auto refute(const Core::Incarnation& incarnation, const Freshness& claimed) -> bool;
    /// Records that another process uses this member's id. Returns true if this process must stop.
    auto mustYieldTo(const Core::Incarnation& other) -> bool;
    auto applyGossip(const Gossip& gossip) -> void;
    auto makeMessage(std::vector<MemberRecord> records, std::vector<DigestEntry> digest) -> Gossip;
    auto makeHeartbeat() -> Gossip;
    auto recordsNewerThan(const std::vector<DigestEntry>& digest, const Core::FailureDomainId& recipientDomain)
        -> std::vector<MemberRecord>;
    auto outdatedEntries(const std::vector<DigestEntry>& digest) const -> std::vector<DigestEntry>;
    auto representatives() const -> std::vector<MemberRecord>;
    /// Returns the other members of this failure domain that are not dead, sorted by id.
    auto peersOf(const std::vector<MemberRecord>& records) const -> std::vector<MemberRecord>;
    auto candidateAddresses(const Core::FailureDomainId& domain) const -> std::vector<Core::Address>;
    auto randomIndex(std::size_t count) -> std::size_t;

    Dependencies m_dependencies;
    Identity m_identity;
    const GossipTiming m_timing;
    MemberTable m_table;
    /// Protects the own record and the duplicate's state; never held while a port is called.
    mutable std::mutex m_ownMutex;
    MemberRecord m_ownRecord;
    Core::Incarnation m_duplicateIncarnation;
    std::uint32_t m_duplicateSightings = 0;
    std::mutex m_scheduleMutex;
    Schedule m_schedule;
};

} // namespace Membership
