#include "storesync/collectionmirror.h"

#include <algorithm>

namespace StoreSync {

auto CollectionMirror::replaceAll(const Ports::CollectionName& name, const Ports::CollectionList& list) -> void
{
    const std::lock_guard lock(m_mutex);
    auto& copy = m_copies[name];
    copy.revision = list.revision;
    copy.items.clear();
    for (const auto& item : list.items)
        copy.items[item.name] = item;
}

auto CollectionMirror::apply(const Ports::CollectionName& name, const Ports::CollectionChanges& changes) -> void
{
    const std::lock_guard lock(m_mutex);
    auto& copy = m_copies[name];
    copy.revision = std::max(copy.revision, changes.revision);
    for (const auto& change : changes.changes) {
        if (change.isDeleted)
            copy.items.erase(change.item.name);
        else
            copy.items[change.item.name] = change.item;
    }
}

auto CollectionMirror::revisions() const -> KnownRevisions
{
    const std::lock_guard lock(m_mutex);
    KnownRevisions revisions;
    for (const auto& [name, copy] : m_copies)
        revisions[name] = copy.revision;
    return revisions;
}

auto CollectionMirror::newerThan(const KnownRevisions& known) const -> CollectionLists
{
    const std::lock_guard lock(m_mutex);
    CollectionLists lists;
    for (const auto& [name, copy] : m_copies) {
        const auto found = known.find(name);
        if (found != known.end() && found->second >= copy.revision)
            continue;
        auto& list = lists[name];
        list.revision = copy.revision;
        for (const auto& [itemName, item] : copy.items)
            list.items.push_back(item);
    }
    return lists;
}

} // namespace StoreSync
