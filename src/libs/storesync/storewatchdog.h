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
    /// Records that the store has answered another call. If this ends an outage, all followers list again.
    auto recordResponse() -> void;
    [[nodiscard]] auto isStoreReachable() const -> bool;

private:
    auto ping() -> void;
    auto handlePingResult(bool isSuccessful, Core::Instant sentAt) -> void;
    auto recordPingFailure(Core::Instant sentAt) -> void;
    auto schedule() -> void;

    const CollectionFollower::Environment m_environment;
    StoreListener& m_listener;
    std::vector<std::shared_ptr<CollectionFollower>> m_followers;
    mutable std::mutex m_mutex;
    bool m_isOutage = false;
    Core::Instant m_lastAnswer;
    bool m_isStopped = false;
    std::unique_ptr<Ports::Timer> m_timer;
};

} // namespace StoreSync
