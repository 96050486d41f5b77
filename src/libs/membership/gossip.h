#pragma once

#include "core/error.h"
#include "membership/memberrecord.h"

#include <functional>

namespace Membership {

/// Versions of the replicated objects stored at the sender of a message.
struct LocalVersions {
    Core::Version document;
    /// Hash of the document's text; differs if two stores assigned the same version to different texts.
    std::uint64_t documentDigest = 0;
    Core::Version fleet;
    /// Time since the store last confirmed the document's version to any member of the sender's failure domain.
    Core::Duration confirmedAge = Core::Duration::max();
    /// Newer version in the store that cannot be put in force, or 0 if there is none; refusalReason states why.
    Core::Version refusedVersion;
    std::string refusalReason;
};

/// State of the document in one failure domain.
struct DomainReport {
    Core::FailureDomainId failureDomain;
    /// Lowest and highest version in force on its unsuspected members.
    Core::Version lowest;
    Core::Version highest;
    Core::Duration confirmedAge = Core::Duration::max();
    /// Time since a member of that failure domain reported this state.
    Core::Duration reportAge {};
};

/// Content of all requests and replies of the gossip protocol.
struct Gossip {
    Core::EntryVmId sender;
    Core::FailureDomainId failureDomain;
    Core::Address senderAddress;
    LocalVersions versions;
    std::vector<MemberRecord> records;
    std::vector<DigestEntry> digest;
    std::vector<DomainReport> domains;
};

/// Sends gossip to other members. Replies may be lost or delayed.
class GossipPort {
public:
    using Callback = std::function<void(Core::Result<Gossip>)>;

    virtual ~GossipPort() = default;
    /// Sends a heartbeat. The request and the reply carry urgent records.
    virtual auto probe(const Core::Address& peer, Gossip gossip, Core::Duration timeout, Callback callback) -> void = 0;
    /// Asks the relay to probe the target on behalf of the caller.
    virtual auto probeThrough(const Core::Address& relay, const Core::Address& target, Gossip gossip,
        Core::Duration timeout, Callback callback) -> void
        = 0;
    /// Reconciles the records of both members by digest.
    virtual auto exchange(const Core::Address& peer, Gossip gossip, Core::Duration timeout, Callback callback) -> void
        = 0;
};

/// Handles the messages sent through the GossipPort of another member. Thread-safe.
class GossipReceiver {
public:
    virtual ~GossipReceiver() = default;
    virtual auto onProbe(const Gossip& gossip) -> Gossip = 0;
    virtual auto onProbeThrough(const Core::Address& target, const Gossip& gossip, GossipPort::Callback respond) -> void
        = 0;
    virtual auto onExchange(const Gossip& gossip) -> Gossip = 0;
};

/// Connects the replication of configuration to the gossip, which carries its versions. Thread-safe.
class VersionExchange {
public:
    virtual ~VersionExchange() = default;
    [[nodiscard]] virtual auto localVersions() const -> LocalVersions = 0;
    [[nodiscard]] virtual auto domainReports() const -> std::vector<DomainReport> = 0;
    /// Called for each received message.
    virtual auto onGossip(const Gossip& gossip) -> void = 0;
};

} // namespace Membership
