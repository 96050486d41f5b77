#pragma once

#include "ports/collectionstore.h"

#include <map>
#include <mutex>

namespace StoreSync {

/// Latest known revision of each collection.
using KnownRevisions = std::map<Ports::CollectionName, Ports::StoreRevision>;
/// Whole collections by name.
using CollectionLists = std::map<Ports::CollectionName, Ports::CollectionList>;

/// Holds a copy of the followed collections, from which entry VMs without access to the store fetch what they miss.
class CollectionMirror {
public:
    auto replaceAll(const Ports::CollectionName& name, const Ports::CollectionList& list) -> void;
    auto apply(const Ports::CollectionName& name, const Ports::CollectionChanges& changes) -> void;
    [[nodiscard]] auto revisions() const -> KnownRevisions;
    /// Returns the collections whose revision here is newer than the known one, and those that are not in `known`.
    [[nodiscard]] auto newerThan(const KnownRevisions& known) const -> CollectionLists;

private:
    struct Copy {
        Ports::StoreRevision revision;
        std::map<std::string, Ports::CollectionItem> items;
    };

    mutable std::mutex m_mutex;
    std::map<Ports::CollectionName, Copy> m_copies;
};

} // namespace StoreSync
