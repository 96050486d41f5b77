#pragma once

#include "storesync/collectionfollower.h"

namespace StoreSync {

/// Is notified when the store becomes unreachable from this VM and when it is reachable again.
class StoreListener {
public:
    virtual ~StoreListener() = default;
    virtual auto storeLost() -> void = 0;
    virtual auto storeRegained() -> void = 0;
};

/// Pings the store at short intervals to detect outages. Watches alone do not suffice: they wait so long that they show
/// an outage late, and may wait for ever if the store has lost them.
class StoreWatchdog : public std::enable_shared_from_this<StoreWatchdog> {
public:
    StoreWatchdog(CollectionFollower::Environment environment, StoreListener& listener);

    auto add(std::shared_ptr<CollectionFollower> follower) -> void { m_followers.push_back(std::move(follower)); }
    auto start() -> void;
    auto stop() -> void;
    /// Interval of the pings of a VM that reads the store for itself only.
    static constexpr Core::Millis usualPingInterval { 1000 };

    /// Sets the interval of the pings while the store answers. Zero stops them, because another VM reads the store for
    /// this one.
    auto setPingInterval(Core::Millis interval) -> void;
    /// Records that the store has answered another call. If this ends an outage, all followers list again.
    auto recordResponse() -> void;
    /// Records the era of an answer of the store, or of a copy that came from another entry VM. If it is later than all
    /// before, the followers are told to give up their copies of earlier eras.
    auto recordEra(Ports::StoreEra era) -> void;
    /// To be called when another entry VM claims to know of this era. Asks the store once, whose answer decides.
    auto checkEra(Ports::StoreEra era) -> void;
    /// Returns the latest era that was seen, 0 if there was no answer yet.
    [[nodiscard]] auto latestEra() const -> Ports::StoreEra;
    /// Records that another entry VM, which passes the store's changes on, heard from the store at that instant.
    auto recordRelayedResponse(Core::Instant heardAt) -> void;
    /// Records that nobody who passes the store's changes on has heard from it for too long.
    auto recordSilence() -> void;
    [[nodiscard]] auto isStoreReachable() const -> bool;
    /// Returns when the store was last heard from, directly or through another entry VM.
    [[nodiscard]] auto lastAnswer() const -> Core::Instant;

private:
    auto ping() -> void;
    auto handlePingResult(const Core::Result<Ports::StoreRevision>& result, Core::Instant sentAt) -> void;
    auto recordPingFailure(Core::Instant sentAt) -> void;
    auto recordAnswerAt(Core::Instant heardAt) -> void;
    auto schedule() -> void;

    const CollectionFollower::Environment m_environment;
    StoreListener& m_listener;
    std::vector<std::shared_ptr<CollectionFollower>> m_followers;
    mutable std::mutex m_mutex;
    bool m_isOutage = false;
    /// Latest era that was seen; nothing before the first answer.
    std::optional<Ports::StoreEra> m_era;
    /// Latest era that another entry VM claimed to know of.
    Ports::StoreEra m_claimedEra;
    Core::Instant m_lastAnswer;
    bool m_isStopped = false;
    Core::Millis m_pingInterval = usualPingInterval;
    std::unique_ptr<Ports::Timer> m_timer;
};

} // namespace StoreSync
