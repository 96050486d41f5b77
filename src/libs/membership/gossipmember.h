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

/// What a member announces of itself besides its name; safe to call from several threads.
class OwnStateSource {
public:
    virtual ~OwnStateSource() = default;
    [[nodiscard]] virtual auto keyPrefix() const -> std::string = 0;
    [[nodiscard]] virtual auto loads() const -> std::vector<Fleet::ServiceLoad> = 0;
};

/// One entry VM's part in the gossip: heartbeats with suspicion and refutation inside its failure domain, exchange of
/// records by digest, and, on a few delegates, exchange with other failure domains. Follows SWIM (Das, Gupta,
/// Motivala 2002), with probes of ring successors so that detection time has a bound, and anti-entropy for the bulk.
class GossipMember : public MembershipView, public GossipReceiver, public std::enable_shared_from_this<GossipMember> {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::RandomSource& random;
        Ports::EventSink& events;
        GossipPort& port;
        const Fleet::FleetSource& fleet;
        const OwnStateSource& ownState;
        VersionExchange& versions;
    };
    struct Identity {
        Fleet::EntryVm vm;
        Core::Incarnation incarnation;
        /// Peers to ask besides those of the fleet list.
        std::vector<Core::Address> seeds;
    };

    GossipMember(Collaborators collaborators, Identity identity, GossipTiming timing = {});

    /// Replaces the addresses of the identity, for a process that learns its ports when it binds them. Only before
    /// start().
    auto setAddresses(const Core::Address& address, const Core::Address& peerAddress) -> void;
    auto start() -> void;
    auto stop() -> void;
    /// Tells the others that this member stops soon. Look-up answers leave it out from then on.
    auto announceLeaving() -> void;
    /// Sends the own versions and urgent records to a few members without waiting for the next round.
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
        Core::Instant nextSeed;
        Core::Instant nextDomain;
        std::size_t domainCursor = 0;
        bool isStopped = false;
    };

    auto round() -> void;
    auto scheduleRound(Core::Duration delay) -> void;
    auto schedulePush() -> void;
    auto probeRound(const std::vector<MemberRecord>& peers) -> void;
    auto probe(const MemberRecord& target) -> void;
    auto probe(const MemberRecord& target, std::function<void()> onFailure) -> void;
    auto probeIndirectly(const MemberRecord& target) -> void;
    auto suspect(const MemberRecord& target) -> void;
    /// Second attempt at a member of another failure domain, which has no relays.
    auto confirmUnreachable(const MemberRecord& target) -> void;
    auto exchangeWith(const Core::Address& peer) -> void;
    auto exchangeWithDomain(const Core::FailureDomainId& domain) -> void;
    auto exchangeIfDue(const std::vector<MemberRecord>& peers, Core::Instant now) -> void;
    auto contactSeedIfDue(Core::Instant now) -> void;
    auto contactDomainsIfDue(const std::vector<MemberRecord>& peers, Core::Instant now) -> void;
    auto expire(Core::Instant now) -> void;

    auto refreshOwn(bool force) -> void;
    /// Answers what another member says of this one. Returns whether the own record changed.
    auto refuteOwn(const Core::Incarnation& incarnation, const Freshness& seen) -> bool;
    /// Notes that another process uses this name. Returns whether this one has to give way.
    auto mustYieldTo(const Core::Incarnation& other) -> bool;
    auto take(const Gossip& gossip) -> void;
    auto message(std::vector<MemberRecord> records, std::vector<DigestEntry> digest) -> Gossip;
    auto heartbeat() -> Gossip;
    auto recordsNewerThan(const std::vector<DigestEntry>& digest, const Core::FailureDomainId& reader)
        -> std::vector<MemberRecord>;
    auto wantedOf(const std::vector<DigestEntry>& digest) const -> std::vector<DigestEntry>;
    auto representatives() const -> std::vector<MemberRecord>;
    /// Members of the own failure domain except this one that are not dead, sorted by name.
    auto peersOf(const std::vector<MemberRecord>& records) const -> std::vector<MemberRecord>;
    auto candidateAddresses(const Core::FailureDomainId& domain) const -> std::vector<Core::Address>;
    auto pick(std::size_t count) -> std::size_t;

    Collaborators m_collaborators;
    Identity m_identity;
    const GossipTiming m_timing;
    MemberTable m_table;
    /// Guards the own record and the rival, and is never held while a port is called.
    mutable std::mutex m_ownMutex;
    MemberRecord m_own;
    Core::Incarnation m_rival;
    std::uint32_t m_rivalSeen = 0;
    std::mutex m_scheduleMutex;
    Schedule m_schedule;
};

} // namespace Membership
