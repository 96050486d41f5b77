#include "storesync/collectionmirror.h"

#include <algorithm>

namespace StoreSync {

namespace {

    /// Bounds of the changes that are kept for each collection. Copies that are further behind are sent whole.
    constexpr std::size_t maximumLogBytes = 512UL * 1024;
    constexpr std::size_t maximumLogChanges = 2000;

} // namespace

auto CollectionMirror::keep(const Ports::CollectionItem& item) const -> KeptItem
{
    return { item, m_clock.now() - item.age };
}

auto CollectionMirror::pass(const KeptItem& kept) const -> Ports::CollectionItem
{
    auto item = kept.item;
    item.age = m_clock.now() - kept.readAt;
    return item;
}

auto CollectionMirror::append(Copy& copy, KeptChange change) -> void
{
    copy.logBytes += change.kept.item.text.size();
    copy.log.push_back(std::move(change));
    while (copy.log.size() > maximumLogChanges || copy.logBytes > maximumLogBytes) {
        copy.logStart = copy.log.front().revision;
        // The changes of one revision are dropped together, because a copy has either all or none of them.
        while (!copy.log.empty() && copy.log.front().revision == copy.logStart) {
            copy.logBytes -= copy.log.front().kept.item.text.size();
            copy.log.pop_front();
        }
    }
}

auto CollectionMirror::replaceAll(const Ports::CollectionName& name, const Ports::CollectionList& list) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto [found, isNew] = m_copies.try_emplace(name);
    auto& copy = found->second;
    const bool isFirst = isNew || copy.revision.era() != list.revision.era();
    if (isFirst)
        copy = Copy();
    auto gone = std::exchange(copy.items, {});
    for (const auto& item : list.items) {
        const auto& kept = copy.items[item.name] = keep(item);
        const auto before = gone.extract(item.name);
        if (!isFirst && (before.empty() || before.mapped().item.revision != item.revision))
            append(copy, { kept, false, list.revision });
    }
    for (const auto& [itemName, kept] : gone)
        append(copy, { kept, true, list.revision });
    if (isFirst)
        copy.logStart = list.revision;
    copy.revision = list.revision;
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
            copy.items[change.item.name] = keep(change.item);
        append(copy, { keep(change.item), change.isDeleted, copy.revision });
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

auto CollectionMirror::inOwnEras(const KnownRevisions& known) const -> KnownRevisions
{
    const std::lock_guard lock(m_mutex);
    auto result = known;
    for (auto& [name, revision] : result) {
        if (const auto found = m_copies.find(name); found != m_copies.end())
            revision = Ports::StoreRevision(revision.number(), found->second.revision.era());
    }
    return result;
}

auto CollectionMirror::itemNames(const Ports::CollectionName& name) const -> std::set<std::string>
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> names;
    if (const auto found = m_copies.find(name); found != m_copies.end()) {
        for (const auto& [itemName, kept] : found->second.items)
            names.insert(itemName);
    }
    return names;
}

auto CollectionMirror::changesAfter(const Copy& copy, Ports::StoreRevision known) const -> ChangesSince
{
    ChangesSince since { known, {} };
    since.changes.revision = copy.revision;
    for (const auto& change : copy.log) {
        // A copy that was made in the middle of a batch gets the whole batch: its end is the same for every copy.
        if (change.revision > known)
            since.changes.changes.push_back({ pass(change.kept), change.isDeleted });
    }
    return since;
}

auto CollectionMirror::wholeList(const Copy& copy) const -> Ports::CollectionList
{
    Ports::CollectionList list;
    list.revision = copy.revision;
    for (const auto& [name, kept] : copy.items)
        list.items.push_back(pass(kept));
    return list;
}

auto CollectionMirror::newsSince(const KnownRevisions& known) const -> MirrorNews
{
    const std::lock_guard lock(m_mutex);
    MirrorNews news;
    for (const auto& [name, copy] : m_copies) {
        const auto found = known.find(name);
        if (found == known.end() || found->second < copy.logStart) {
            news[name] = wholeList(copy);
            continue;
        }
        if (found->second >= copy.revision)
            continue;
        auto since = changesAfter(copy, found->second);
        if (!since.changes.changes.empty())
            news[name] = std::move(since);
    }
    return news;
}

} // namespace StoreSync
