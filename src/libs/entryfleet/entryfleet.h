#pragma once

#include "entryfleet/callerselection.h"
#include "entryfleet/member.h"
#include "forwarding/servicepool.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/scheduler.h"

#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace EntryFleet {

/// Tracks the other entry VMs: the store lists them, and heartbeats show which of those in the same region are alive.
/// Only entry VMs of the same region exchange heartbeats, so that the cost for each does not grow with the whole fleet;
/// while requests are quarantined, one VM of each region sends its heartbeats to one of each other region as well.
/// A process that the store doesn't list yet, because it turns the entry VM away, introduces itself by its heartbeats:
/// the others would own the same upstreams beside it otherwise.
class EntryFleet : public Forwarding::EntryVmView {
public:
    static constexpr Core::Millis heartbeatInterval { 700 };
    /// Time without a heartbeat after which an entry VM is left out of look-up answers.
    static constexpr Core::Millis heartbeatTimeout { Member::heartbeatTimeout };
    /// Longest time between two heartbeat cycles of a running process. A longer gap means that the process was paused
    /// and missed heartbeats of the others.
    static constexpr Core::Millis maximumCycleGap { 2 * heartbeatInterval };

    struct Environment {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::EventSink& events;
        HeartbeatPort& heartbeats;
        /// Called when this process resumes after a pause so long that it missed messages of other entry VMs.
        std::function<void()> onPauseDetected = [] {};
        /// Returns the digest of what this entry VM has quarantined.
        std::function<Dispatch::QuarantineDigest()> quarantine = [] { return Dispatch::QuarantineDigest(); };
        /// Called with the digest of another entry VM, unless it is zero, and the address for messages to it.
        std::function<void(const Core::Address&, Dispatch::QuarantineDigest)> onQuarantine
            = [](const Core::Address&, Dispatch::QuarantineDigest) {};
    };

    EntryFleet(EntryVmEntry self, Environment environment);

    /// Applies the store's list. Ownership of upstreams starts some time after the first list.
    auto replaceAll(const std::vector<EntryVmEntry>& entries) -> void;
    /// Applies the list of a store that has returned from an older copy. Entry VMs that are not in it stay listed, but
    /// this one has to register again.
    auto mergeReturned(const std::vector<EntryVmEntry>& entries) -> void;
    auto upsert(const EntryVmEntry& entry) -> void;
    auto remove(const Core::EntryVmId& id) -> void;
    auto receive(const Heartbeat& heartbeat) -> void;
    /// Starts to send heartbeats.
    auto start() -> void;
    /// Tells the other entry VMs of the region at once that this one accepts no new callers.
    auto leave() -> void;
    /// Sets whether this entry VM handles its events late, so that look-up answers name further ones beside it.
    auto setBusy(bool isBusy) -> void;

    /// Returns the front addresses of the entry VMs of the region that callers should use.
    [[nodiscard]] auto callerAddresses() const -> std::vector<Core::Address>;
    /// Returns the peer addresses of the other entry VMs: first the live ones of the region, then all others.
    [[nodiscard]] auto peerAddresses() const -> std::vector<Core::Address>;
    /// Returns the live entry VMs of the region, including this one unless it is leaving, in an order that is the same
    /// on all VMs with the same view. Neighbours are in different failure domains where possible. Empty as long as
    /// heartbeats of the others may not have arrived yet.
    [[nodiscard]] auto regionalRanking() const -> std::vector<EntryVmEntry>;
    /// Returns the ranking of all known entry VMs of the region, whether they are alive or not.
    [[nodiscard]] auto knownRanking() const -> std::vector<EntryVmEntry>;
    /// Returns true if the store lists this process.
    [[nodiscard]] auto isSelfListed() const -> bool;
    /// Returns the number of entry VMs that are listed or have introduced themselves, including this one.
    [[nodiscard]] auto knownCount() const -> std::size_t;
    /// Returns the entry VMs that the store lists, which may include this one, or nothing before its first list.
    [[nodiscard]] auto listed() const -> std::optional<std::vector<EntryVmEntry>>;
    [[nodiscard]] auto isOwner(const Forwarding::UpstreamEntry& upstream) const -> bool override;
    [[nodiscard]] auto regionalCount() const -> std::size_t override;

private:
    [[nodiscard]] auto isAlive(const Member& member, Core::Instant now) const -> bool;
    /// Returns the entry VMs of the region that accept callers, including this one unless it is leaving.
    [[nodiscard]] auto callerTargets(Core::Instant now) const -> CallerTargets;
    /// Returns those that look-up answers name if none is busy. They share the region's cold upstreams.
    [[nodiscard]] auto usualTargets(Core::Instant now) const -> const std::set<Core::EntryVmId>&;
    /// Returns true if the member is another entry VM of the region that is alive and not leaving.
    [[nodiscard]] auto acceptsCallers(const Member& member, Core::Instant now) const -> bool;
    [[nodiscard]] auto rank(std::vector<EntryVmEntry> entries) const -> std::vector<EntryVmEntry>;
    /// Returns true if heartbeats of the others may not have arrived yet, after a start or a pause.
    [[nodiscard]] auto isViewIncomplete(Core::Instant now) const -> bool;
    [[nodiscard]] auto isRegionalPeer(const EntryVmEntry& entry) const -> bool;
    auto put(const EntryVmEntry& entry) -> void;
    /// Applies the heartbeat. Returns true if the others need to be told of its sender.
    auto apply(const Heartbeat& heartbeat) -> bool;
    /// Returns the sender's member, which a heartbeat with an introduction adds; null if it is unknown.
    auto senderOf(const Heartbeat& heartbeat) -> Member*;
    /// Passes a heartbeat of an unlisted entry VM on to the other unlisted ones, which can't know of each other.
    auto forward(Heartbeat heartbeat) -> void;
    /// Forgets entry VMs that are neither listed nor alive.
    auto forgetUnlisted(Core::Instant now) -> void;
    /// Defers the ownership of upstreams until the others' heartbeats should have arrived.
    auto deferOwnership(Core::Instant now) -> void;
    auto runHeartbeatCycle() -> void;
    /// Returns true if this process was paused since the last cycle. In that case, excludes the pause from the others'
    /// heartbeat timeouts and defers the ownership of upstreams.
    [[nodiscard]] auto detectPause(Core::Instant now) -> bool;
    /// Returns the instant up to which missing heartbeats count against the others: `now`, or an earlier one if the
    /// last cycle is so long ago that this process was paused.
    [[nodiscard]] auto observedUntil(Core::Instant now) const -> Core::Instant;
    auto sendHeartbeats() -> void;
    /// Takes out of the list of the region's addresses those that get the digest of what is quarantined in this cycle,
    /// and returns them with those of other regions. Their number does not grow with the region.
    [[nodiscard]] auto takeDigestAddresses(std::vector<Core::Address>& regional) const -> std::vector<Core::Address>;
    /// Returns true if this entry VM is the one of its region whose heartbeats reach other regions. Several may take
    /// themselves for it, if they know of different ones.
    [[nodiscard]] auto speaksForRegion(Core::Instant now) const -> bool;
    /// Returns the heartbeat address of one entry VM of each other region, of another one in each cycle.
    [[nodiscard]] auto addressesInOtherRegions() const -> std::vector<Core::Address>;
    /// Passes the digest of a heartbeat on.
    auto reportQuarantine(const Heartbeat& heartbeat) -> void;
    auto recordLivenessChanges(Core::Instant now) -> void;

    const EntryVmEntry m_self;
    const Environment m_environment;
    mutable std::mutex m_mutex;
    std::map<Core::EntryVmId, Member> m_members;
    /// The store lists this process, so that the others know of it.
    bool m_isSelfListed = false;
    /// The store lists this process or an earlier one of this VM.
    bool m_isIdListed = false;
    bool m_hasList = false;
    bool m_isStarted = false;
    bool m_isLeaving = false;
    bool m_isBusy = false;
    mutable std::set<Core::EntryVmId> m_usualTargets;
    /// The set is computed again after this instant.
    mutable Core::Instant m_usualTargetsUntil = Core::Instant::min();
    Core::Instant m_lastCycle;
    /// Number of heartbeat cycles since the start.
    std::size_t m_cycles = 0;
    /// This entry VM owns no upstream before this instant, because heartbeats of the others may not have arrived yet.
    Core::Instant m_ownershipStart = Core::Instant::max();
    std::unique_ptr<Ports::Timer> m_timer;
};

} // namespace EntryFleet
