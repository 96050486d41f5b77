#pragma once

#include "ports/clock.h"
#include "ports/collectionstore.h"

#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <variant>

namespace StoreSync {

/// Latest known revision of each collection.
using KnownRevisions = std::map<Ports::CollectionName, Ports::StoreRevision>;

/// Changes that lead from a known revision to a later one.
struct ChangesSince {
    Ports::StoreRevision base;
    Ports::CollectionChanges changes;
};
/// What a copy at a known revision lacks: the changes since then or, if they are no longer kept, the whole collection.
using CollectionNews = std::variant<ChangesSince, Ports::CollectionList>;
/// News by collection. Collections without news are left out.
using MirrorNews = std::map<Ports::CollectionName, CollectionNews>;

/// Holds a copy of the followed collections and their latest changes, which other entry VMs fetch instead of reading
/// the store.
class CollectionMirror {
public:
    explicit CollectionMirror(const Ports::Clock& clock)
        : m_clock(clock)
    {
    }

    /// Changes are kept only within one era of the store: copies of earlier ones are sent the whole collection.
    auto replaceAll(const Ports::CollectionName& name, const Ports::CollectionList& list) -> void;
    auto apply(const Ports::CollectionName& name, const Ports::CollectionChanges& changes) -> void;
    [[nodiscard]] auto revisions() const -> KnownRevisions;
    /// Returns the revisions with the eras of the copies here.
    [[nodiscard]] auto inOwnEras(const KnownRevisions& known) const -> KnownRevisions;
    [[nodiscard]] auto itemNames(const Ports::CollectionName& name) const -> std::set<std::string>;
    /// Returns what a copy with the known revisions lacks. Collections that are not in `known` are returned whole.
    [[nodiscard]] auto newsSince(const KnownRevisions& known) const -> MirrorNews;

private:
    /// An item, and when the store was read for it.
    struct KeptItem {
        Ports::CollectionItem item;
        Core::Instant readAt;
    };
    struct KeptChange {
        KeptItem kept;
        bool isDeleted = false;
        /// Revision of the copy with this change.
        Ports::StoreRevision revision;
    };
    struct Copy {
        Ports::StoreRevision revision;
        std::map<std::string, KeptItem> items;
        /// Changes after `logStart`, oldest first.
        std::deque<KeptChange> log;
        Ports::StoreRevision logStart;
        std::size_t logBytes = 0;
    };

    [[nodiscard]] auto keep(const Ports::CollectionItem& item) const -> KeptItem;
    [[nodiscard]] auto pass(const KeptItem& kept) const -> Ports::CollectionItem;
    [[nodiscard]] auto changesAfter(const Copy& copy, Ports::StoreRevision known) const -> ChangesSince;
    [[nodiscard]] auto wholeList(const Copy& copy) const -> Ports::CollectionList;
    static auto append(Copy& copy, KeptChange change) -> void;

    const Ports::Clock& m_clock;
    mutable std::mutex m_mutex;
    std::map<Ports::CollectionName, Copy> m_copies;
};

} // namespace StoreSync
