#pragma once

#include "core/error.h"
#include "membership/memberrecord.h"

#include <functional>

namespace Membership {

/// Versions of the replicated objects that the sender itself holds.
struct HeldVersions {
    Core::Version document;
    /// Hash of the document's text; differs when two stores gave one version to two texts.
    std::uint64_t documentDigest = 0;
    Core::Version fleet;
    /// Time since the store last confirmed the document's version to somebody in the sender's failure domain.
    Core::Duration confirmedAge = Core::Duration::max();
    /// Newer version in the store that cannot be put in force, and why; 0 when there is none.
    Core::Version refusedVersion;
    std::string refusalReason;
};

/// What is known of the document in one failure domain.
struct DomainReport {
    Core::FailureDomainId failureDomain;
    /// Lowest and highest version in force on its members that are not suspected.
    Core::Version lowest;
    Core::Version highest;
    Core::Duration confirmedAge = Core::Duration::max();
    /// Time since somebody in that failure domain said so.
    Core::Duration heardAge {};
};

/// Content of every message of the protocol, in both directions.
struct Gossip {
    Core::EntryVmId sender;
    Core::FailureDomainId failureDomain;
    Core::Address senderAddress;
    HeldVersions versions;
    std::vector<MemberRecord> records;
    std::vector<DigestEntry> digest;
    std::vector<DomainReport> domains;
};

/// Messages between members. Replies may be lost or late.
class GossipPort {
public:
    using Callback = std::function<void(Core::Result<Gossip>)>;

    virtual ~GossipPort() = default;
    /// Heartbeat: asks for a sign of life and carries urgent records both ways.
    virtual auto probe(const Core::Address& peer, Gossip gossip, Core::Duration timeout, Callback callback) -> void = 0;
    /// Asks the relay to probe the target in place of the caller.
    virtual auto probeThrough(const Core::Address& relay, const Core::Address& target, Gossip gossip,
        Core::Duration timeout, Callback callback) -> void
        = 0;
    /// Reconciles what both sides know, by digest.
    virtual auto exchange(const Core::Address& peer, Gossip gossip, Core::Duration timeout, Callback callback) -> void
        = 0;
};

/// Receives the messages that arrive through the port's other end; safe to call from several threads.
class GossipReceiver {
public:
    virtual ~GossipReceiver() = default;
    virtual auto onProbe(const Gossip& gossip) -> Gossip = 0;
    virtual auto onProbeThrough(const Core::Address& target, const Gossip& gossip, GossipPort::Callback respond) -> void
        = 0;
    virtual auto onExchange(const Gossip& gossip) -> Gossip = 0;
};

/// Lets the replication of configuration ride on the gossip; safe to call from several threads.
class VersionExchange {
public:
    virtual ~VersionExchange() = default;
    [[nodiscard]] virtual auto heldVersions() const -> HeldVersions = 0;
    [[nodiscard]] virtual auto domainReports() const -> std::vector<DomainReport> = 0;
    /// Called with each message that arrives.
    virtual auto seen(const Gossip& gossip) -> void = 0;
};

} // namespace Membership
