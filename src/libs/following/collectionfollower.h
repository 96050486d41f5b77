#pragma once

#include "following/collectionmirror.h"
#include "ports/clock.h"
#include "ports/collectionstore.h"
#include "ports/eventsink.h"
#include "ports/randomsource.h"
#include "ports/scheduler.h"

#include <mutex>

namespace Following {

/// Takes what a follower learns. Called by one thread at a time.
class CollectionListener {
public:
    virtual ~CollectionListener() = default;
    /// The collection as it is now; what is not in it is gone.
    virtual auto replaceAll(const Ports::CollectionList& list) -> void = 0;
    virtual auto upsert(const Ports::CollectionItem& item) -> void = 0;
    virtual auto remove(const std::string& name) -> void = 0;
    /// All changes of one answer have been told.
    virtual auto commit() -> void = 0;
};

/// Keeps a listener up to date with one collection: lists it, then watches from there, and lists again whenever the
/// store can't tell what changed.
class CollectionFollower : public std::enable_shared_from_this<CollectionFollower> {
public:
    struct Environment {
        const Ports::Clock& clock;
        Ports::CollectionStore& store;
        Ports::Scheduler& scheduler;
        Ports::RandomSource& random;
        Ports::EventSink& events;
        CollectionMirror& mirror;
        /// Called after each list that the store itself has given.
        std::function<void()> storeAnswered = [] {};
        /// Called with the first call of several that fails: what happens from then on is not told.
        std::function<void()> storeFailed = [] {};
    };

    CollectionFollower(Ports::CollectionName name, CollectionListener& listener, Environment environment);

    auto start() -> void;
    /// Gives a waiting watch up and lists again, for when the store was away.
    auto refresh() -> void;
    auto stop() -> void;
    /// Takes a copy of the collection that another entry VM has, unless it is no newer. Returns whether it was taken.
    auto adopt(const Ports::CollectionList& list) -> bool;
    [[nodiscard]] auto name() const -> const Ports::CollectionName& { return m_name; }

private:
    auto list() -> void;
    auto watch() -> void;
    auto take(const Ports::CollectionList& list) -> void;
    auto onList(const Core::Result<Ports::CollectionList>& result) -> void;
    auto onChanges(const Core::Result<Ports::CollectionChanges>& result) -> void;
    auto retryLater(const Core::Error& error) -> void;
    auto recordRecovery() -> void;
    auto schedule(Core::Duration delay, void (CollectionFollower::*step)()) -> void;

    const Ports::CollectionName m_name;
    CollectionListener& m_listener;
    const Environment m_environment;
    /// Held while the listener is told, so that it hears one thing after another.
    std::mutex m_listenerMutex;
    mutable std::mutex m_mutex;
    Ports::StoreRevision m_revision;
    bool m_isLoaded = false;
    bool m_isStopped = false;
    /// Number of the watch in flight; the answer of an earlier one is ignored.
    std::uint64_t m_watchNumber = 0;
    std::uint32_t m_failures = 0;
    std::shared_ptr<Ports::StoreCall> m_call;
    std::unique_ptr<Ports::Timer> m_timer;
};

} // namespace Following
