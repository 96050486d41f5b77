#pragma once

#include "storesync/collectionmirror.h"

#include <functional>
#include <mutex>

namespace StoreSync {

/// Receives the content and the changes of a followed collection. Called by one thread at a time.
class CollectionListener {
public:
    virtual ~CollectionListener() = default;
    /// Replaces the content by the given list. Items that are not in it no longer exist.
    virtual auto replaceAll(const Ports::CollectionList& list) -> void = 0;
    virtual auto upsert(const Ports::CollectionItem& item) -> void = 0;
    virtual auto remove(const std::string& name) -> void = 0;
    /// Called after all changes of one answer.
    virtual auto commit() -> void = 0;
};

/// This VM's copy of one collection. Decides by their revisions which lists and changes of the store and of other entry
/// VMs are applied, and passes these on to a listener and to the mirror.
class CollectionCopy {
public:
    struct Environment {
        CollectionMirror& mirror;
        /// Called after each change of the copy.
        std::function<void()> changed;
    };

    CollectionCopy(Ports::CollectionName name, CollectionListener& listener, Environment environment);

    auto stop() -> void;
    /// Applies a list of the store. Returns false if a newer copy came from another entry VM while the store was asked.
    auto applyUnlessOlder(const Ports::CollectionList& list) -> bool;
    /// Applies another entry VM's copy if it is newer. Returns true if it did so.
    auto applyIfNewer(const Ports::CollectionList& list) -> bool;
    /// Applies changes since the base revision. Returns false if the copy is at another revision by now.
    auto applyChanges(const Ports::CollectionChanges& changes, Ports::StoreRevision base) -> bool;
    [[nodiscard]] auto revision() const -> Ports::StoreRevision;
    [[nodiscard]] auto isLoaded() const -> bool;

private:
    /// The caller must hold m_listenerMutex.
    auto applyList(const Ports::CollectionList& list, const std::lock_guard<std::mutex>& listenerLock) -> void;

    const Ports::CollectionName m_name;
    CollectionListener& m_listener;
    const Environment m_environment;
    /// Held while the listener is called and the revision changes, so that both always agree.
    std::mutex m_listenerMutex;
    mutable std::mutex m_mutex;
    Ports::StoreRevision m_revision;
    bool m_isLoaded = false;
    bool m_isStopped = false;
};

} // namespace StoreSync
