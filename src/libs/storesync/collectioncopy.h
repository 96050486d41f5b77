#pragma once

#include "ports/eventsink.h"
#include "ports/scheduler.h"
#include "storesync/collectionmirror.h"
#include "storesync/helditems.h"

#include <functional>
#include <memory>
#include <mutex>

namespace StoreSync {

/// Receives the content and the changes of a followed collection. Called by one thread at a time.
class CollectionListener {
public:
    virtual ~CollectionListener() = default;
    /// Replaces the content by the given list. Items that are not in it no longer exist.
    virtual auto replaceAll(const Ports::CollectionList& list) -> void = 0;
    /// Applies the list of a store that has returned from an older copy. An item that is not in it may exist all the
    /// same, and one that is in it may be older than what is known of it.
    virtual auto mergeReturned(const Ports::CollectionList& list) -> void = 0;
    virtual auto upsert(const Ports::CollectionItem& item) -> void = 0;
    virtual auto remove(const std::string& name) -> void = 0;
    /// Removes an item that a returned store lacks and that has not been written again. Nobody has said that it is
    /// gone.
    virtual auto giveUp(const std::string& name) -> void { remove(name); }
    /// Called after all changes of one answer.
    virtual auto commit() -> void = 0;
};

/// This VM's copy of one collection. Decides by their revisions which lists and changes of the store and of other entry
/// VMs are applied, and passes these on to a listener and to the mirror.
class CollectionCopy : public std::enable_shared_from_this<CollectionCopy> {
public:
    struct Environment {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::EventSink& events;
        CollectionMirror& mirror;
        /// Time for which items that a store that returned from an older copy lacks count as existing, from when the
        /// store was first seen in its era.
        Core::Duration returnHold;
        /// Returns true if the copy shows what the store has now. Held items are not given up before.
        std::function<bool()> isCurrent;
        /// Called after each change of the copy.
        std::function<void()> changed;
    };

    CollectionCopy(Ports::CollectionName name, CollectionListener& listener, Environment environment);

    auto stop() -> void;
    /// Applies a list of the store. Returns false if a newer copy came from another entry VM while the store was asked,
    /// or if the store has been seen in a later era.
    auto applyUnlessOlder(const Ports::CollectionList& list) -> bool;
    /// Applies another entry VM's copy if it is newer. Returns true if it did so.
    auto applyIfNewer(const Ports::CollectionList& list) -> bool;
    /// Applies changes since the base revision. Returns false if the copy is at another revision, or if the changes are
    /// of another era than their base or of one that has passed.
    auto applyChanges(const Ports::CollectionChanges& changes, Ports::StoreRevision base) -> bool;
    /// Records that the store was seen in this era: nothing of an earlier one is applied from then on.
    auto expectEra(Ports::StoreEra era) -> void;
    /// Returns true if the store was seen in a later era.
    [[nodiscard]] auto isOutdated(Ports::StoreEra era) const -> bool;
    [[nodiscard]] auto revision() const -> Ports::StoreRevision;
    [[nodiscard]] auto isLoaded() const -> bool;

private:
    /// The caller must hold m_listenerMutex.
    auto applyList(const Ports::CollectionList& list, const std::lock_guard<std::mutex>& listenerLock) -> void;
    /// Applies the first list of a store that has returned from an older copy. Same lock.
    auto mergeReturned(const Ports::CollectionList& list, const std::set<std::string>& knownBefore) -> void;
    /// Applies a list while items are held that it lacks. Same lock.
    auto replaceAllButHeld(const Ports::CollectionList& list, const std::set<std::string>& knownBefore) -> void;
    auto recordReturn(const Ports::CollectionList& list) -> void;
    /// Returns how long the items that the returned store lacks are to be held from now on.
    [[nodiscard]] auto remainingHold() const -> Core::Duration;
    auto scheduleEndOfHold(std::uint64_t number, Core::Duration delay) -> void;
    /// Gives up the items that have not been written again, unless another hold has begun meanwhile.
    auto endHold(std::uint64_t number) -> void;

    const Ports::CollectionName m_name;
    CollectionListener& m_listener;
    const Environment m_environment;
    /// Held while the listener is called and the revision changes, so that both always agree.
    std::mutex m_listenerMutex;
    /// Guarded by m_listenerMutex.
    HeldItems m_held;
    /// Number of the last hold. Guarded by m_listenerMutex.
    std::uint64_t m_holdNumber = 0;
    mutable std::mutex m_mutex;
    Ports::StoreRevision m_revision;
    /// Latest era in which the store was seen, and since when.
    Ports::StoreEra m_latestEra;
    Core::Instant m_eraSeenAt;
    bool m_isLoaded = false;
    bool m_isStopped = false;
    std::unique_ptr<Ports::Timer> m_holdTimer;
};

} // namespace StoreSync
