#include "storesync/collectioncopy.h"

#include <algorithm>

namespace StoreSync {

CollectionCopy::CollectionCopy(Ports::CollectionName name, CollectionListener& listener, Environment environment)
    : m_name(std::move(name))
    , m_listener(listener)
    , m_environment(std::move(environment))
{
}

auto CollectionCopy::stop() -> void
{
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
}

auto CollectionCopy::revision() const -> Ports::StoreRevision
{
    const std::lock_guard lock(m_mutex);
    return m_revision;
}

auto CollectionCopy::isLoaded() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_isLoaded;
}

auto CollectionCopy::applyUnlessOlder(const Ports::CollectionList& list) -> bool
{
    {
        const std::lock_guard listenerLock(m_listenerMutex);
        if (list.revision < revision())
            return false;
        applyList(list, listenerLock);
    }
    m_environment.changed();
    return true;
}

auto CollectionCopy::applyIfNewer(const Ports::CollectionList& list) -> bool
{
    {
        const std::lock_guard listenerLock(m_listenerMutex);
        {
            const std::lock_guard lock(m_mutex);
            if (m_isStopped || list.revision <= m_revision)
                return false;
        }
        applyList(list, listenerLock);
    }
    m_environment.changed();
    return true;
}

auto CollectionCopy::applyList(const Ports::CollectionList& list, const std::lock_guard<std::mutex>&) -> void
{
    m_environment.mirror.replaceAll(m_name, list);
    m_listener.replaceAll(list);
    m_listener.commit();
    const std::lock_guard lock(m_mutex);
    m_revision = list.revision;
    m_isLoaded = true;
}

auto CollectionCopy::applyChanges(const Ports::CollectionChanges& changes, Ports::StoreRevision base) -> bool
{
    {
        const std::lock_guard listenerLock(m_listenerMutex);
        if (revision() != base)
            return false;
        m_environment.mirror.apply(m_name, changes);
        for (const auto& change : changes.changes) {
            if (change.isDeleted)
                m_listener.remove(change.item.name);
            else
                m_listener.upsert(change.item);
        }
        m_listener.commit();
        const std::lock_guard lock(m_mutex);
        m_revision = std::max(m_revision, changes.revision);
    }
    m_environment.changed();
    return true;
}

} // namespace StoreSync
