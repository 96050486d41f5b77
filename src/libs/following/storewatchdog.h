#pragma once

#include "following/collectionfollower.h"

namespace Following {

/// Told when the store stops or starts again to answer this VM.
class StoreListener {
public:
    virtual ~StoreListener() = default;
    virtual auto storeLost() -> void = 0;
    virtual auto storeRegained() -> void = 0;
};

/// Asks the store at short intervals whether it answers. A watch waits so long that it would show an outage late, and
/// may wait for ever at a store that forgot it.
class StoreWatchdog : public std::enable_shared_from_this<StoreWatchdog> {
public:
    StoreWatchdog(CollectionFollower::Environment environment, StoreListener& listener);

    auto add(std::shared_ptr<CollectionFollower> follower) -> void { m_followers.push_back(std::move(follower)); }
    auto start() -> void;
    auto stop() -> void;
    /// The store has answered another call.
    auto noteAnswer() -> void;
    [[nodiscard]] auto isAnswering() const -> bool;

private:
    auto ping() -> void;
    auto onPing(bool isAnswered, Core::Instant askedAt) -> void;
    auto noteSilence(Core::Instant askedAt) -> void;
    auto schedule() -> void;

    const CollectionFollower::Environment m_environment;
    StoreListener& m_listener;
    std::vector<std::shared_ptr<CollectionFollower>> m_followers;
    mutable std::mutex m_mutex;
    bool m_isLost = false;
    Core::Instant m_lastAnswer;
    bool m_isStopped = false;
    std::unique_ptr<Ports::Timer> m_timer;
};

} // namespace Following
