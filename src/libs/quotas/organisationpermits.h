#pragma once

#include "quotas/permitmessage.h"
#include "quotas/quotagate.h"

#include <deque>
#include <map>
#include <optional>

namespace Quotas {

/// Part of the fleet's quotas that this VM has.
struct FleetPart {
    /// Part of the rate that this VM mints; 0 before it knows the others.
    double mintedShare = 0;
    /// Part of the unused permits of the fleet that may be here.
    double heldShare = 0;
};

/// Permits of one organisation on one VM: those that it mints, holds and lacks, and the requests that wait for one.
/// Decides only; runs no callbacks. Not thread-safe.
class OrganisationPermits {
public:
    /// Time for which a request waits for a permit at most, except in the first seconds.
    static constexpr Core::Millis maximumWait { 350 };
    /// A permit that comes back unused is good for this time after it was taken, however often it was.
    static constexpr Core::Millis returnLifetime { 250 };

    struct Waiter {
        Core::Instant until;
        QuotaGate::Callback callback;
    };
    /// Request whose decision is known; its callback is to be run without any lock.
    struct Decision {
        QuotaGate::Callback callback;
        QuotaResult result;
    };
    using Decisions = std::vector<Decision>;

    struct Counts {
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
    };

    /// Applies a quota, of which the VMs together may hold `held` permits unused. A lower one binds at once.
    auto setQuota(Core::OrganisationId organisation, const Organisations::Quota& quota, double held) -> void;
    /// Mints for the time since the last call.
    auto refill(const FleetPart& part, Core::Instant now) -> void;

    /// Takes a permit, or lets the request wait, or refuses it.
    auto acquire(Core::Instant latest, QuotaGate::Callback callback, Core::Instant now, Decisions& decisions) -> void;
    auto giveBack(const QuotaPermit& permit, Core::Instant now, Decisions& decisions) -> void;
    /// Serves the requests that wait from the permits here, and refuses those that have waited long enough.
    auto serve(Core::Instant now, Decisions& decisions) -> void;

    /// Adds permits that the parent has granted or returned.
    auto addGrant(Permits granted, Core::Instant now) -> void;
    /// Takes over what a child gives, serves the requests that wait here, and returns the permits that go to the child:
    /// a whole number of those that it needs, and the given ones for which there is no room. Remembers what remains
    /// needed.
    [[nodiscard]] auto exchange(
        const Core::EntryVmId& child, const PermitOffer& offer, Core::Instant now, Decisions& decisions) -> Permits;

    /// Returns what requests here and at the children lack.
    [[nodiscard]] auto lacking(Core::Instant now) const -> Permits;
    /// Returns what to ask the parent for, or nothing if nothing is lacking or the last question is too recent. The
    /// time between two questions doubles until a permit comes. Takes the parts of permits that are here, because
    /// together with those of other VMs they make whole ones.
    [[nodiscard]] auto takeQuestion(Core::Instant now) -> std::optional<PermitOffer>;
    /// Lets all requests that wait pass, because the organisation has no quota any more.
    auto releaseAll(Core::Instant now, Decisions& decisions) -> void;
    /// Takes the permits that are of more use at the parent.
    [[nodiscard]] auto takeSurplus(bool isScarce, Core::Instant now) -> Permits;
    /// Returns true if surplus permits that nobody is known to lack may move now.
    [[nodiscard]] auto hasIdleSurplus(Core::Instant now) const -> bool;
    /// The parent has no room for more permits, so that they stay here for a while.
    auto deferIdleSurplus(Core::Instant now) -> void;
    /// Drops what is beyond the room for unused permits.
    auto trim(Core::Instant now) -> void;

    [[nodiscard]] auto hasWaiters() const -> bool { return !m_waiters.empty(); }
    [[nodiscard]] auto stock() const -> Permits { return m_stock; }
    [[nodiscard]] auto room() const -> Permits { return m_room; }
    [[nodiscard]] auto counts() const -> const Counts& { return m_counts; }

private:
    struct ChildNeed {
        Permits lacking;
        Core::Instant at;
    };

    [[nodiscard]] auto grant(const Core::EntryVmId& child, Permits needed, Core::Instant now) -> Permits;
    /// Returns how much may be here: unused permits, and those for requests that wait.
    [[nodiscard]] auto limit(Core::Instant now) const -> Permits { return m_room + waiting() + childNeeds(now); }
    [[nodiscard]] auto tryTake(Core::Instant now) -> std::optional<QuotaPermit>;
    [[nodiscard]] auto childNeeds(Core::Instant now) const -> Permits;
    [[nodiscard]] auto describe() const -> std::string;
    [[nodiscard]] auto retryAfter() const -> Core::Duration;
    [[nodiscard]] auto half() const -> Permits;
    [[nodiscard]] auto hasRecentDemand(Core::Instant now) const -> bool;
    [[nodiscard]] auto waiting() const -> Permits;
    [[nodiscard]] auto mayWait(Core::Instant now) const -> bool;
    auto refuse(QuotaGate::Callback callback, Decisions& decisions) -> void;
    auto recordSupply(Core::Instant now) -> void;

    Core::OrganisationId m_organisation;
    Organisations::Quota m_quota;
    double m_held = 0;
    Permits m_stock;
    Permits m_room;
    Core::Instant m_startedAt = Core::Instant::min();
    Core::Instant m_refilledAt = Core::Instant::min();
    Core::Instant m_lastRequest = Core::Instant::min();
    Core::Instant m_lastExpiry = Core::Instant::min();
    /// Permits that came back, with the time at which they were first taken.
    std::deque<Core::Instant> m_returned;
    std::deque<Waiter> m_waiters;
    std::map<Core::EntryVmId, ChildNeed> m_childNeeds;
    /// Permits taken here a second, lately.
    double m_supplyRate = 0;
    Core::Instant m_supplyRecordedAt = Core::Instant::min();
    double m_takenSinceRecord = 0;
    Counts m_counts;
    Core::Instant m_nextQuestion = Core::Instant::min();
    Core::Duration m_questionDelay {};
    Core::Instant m_nextIdleSurplus = Core::Instant::min();
    Core::Instant m_nextSmallSurplus = Core::Instant::min();
    double m_mintedRate = 0;
    /// What was minted beyond the units in which permits are counted.
    double m_unmintedPart = 0;
};

} // namespace Quotas
