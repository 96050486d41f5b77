#pragma once

#include "ports/collectionstore.h"

#include <map>
#include <mutex>

namespace Following {

/// Revision up to which each collection is known.
using KnownRevisions = std::map<Ports::CollectionName, Ports::StoreRevision>;
/// Whole collections by name.
using CollectionLists = std::map<Ports::CollectionName, Ports::CollectionList>;

/// Copy of the followed collections, from which entry VMs that the store turns away learn what they miss.
class CollectionMirror {
public:
    auto replaceAll(const Ports::CollectionName& name, const Ports::CollectionList& list) -> void;
    auto apply(const Ports::CollectionName& name, const Ports::CollectionChanges& changes) -> void;
    [[nodiscard]] auto revisions() const -> KnownRevisions;
    /// Collections that are newer here than the reader knows them.
    [[nodiscard]] auto newerThan(const KnownRevisions& known) const -> CollectionLists;

private:
    struct Copy {
        Ports::StoreRevision revision;
        std::map<std::string, Ports::CollectionItem> items;
    };

    mutable std::mutex m_mutex;
    std::map<Ports::CollectionName, Copy> m_copies;
};

} // namespace Following
