#include "storesync/collectioncopy.h"

#include <algorithm>

namespace StoreSync {

namespace {

    /// Interval at which a hold that is over waits for a copy that shows the store's present state.
    constexpr Core::Millis holdCheckInterval { 200 };
    /// A list that comes late in the time of a hold leaves this part of it at least.
    constexpr int shortestHoldDivisor = 4;

    /// Returns the last change of each item. The changes of another entry VM may begin before the own revision, and
    /// would bring back for a moment what has been removed since.
    auto lastChanges(const Ports::CollectionChanges& changes) -> std::vector<const Ports::CollectionChange*>
    {
        std::set<std::string> names;
        std::vector<const Ports::CollectionChange*> last;
        for (auto change = changes.changes.rbegin(); change != changes.changes.rend(); ++change) {
            if (names.insert(change->item.name).second)
                last.push_back(&*change);
        }
        std::reverse(last.begin(), last.end());
        return last;
    }

} // namespace

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
    m_holdTimer.reset();
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

auto CollectionCopy::expectEra(Ports::StoreEra era) -> void
{
    const std::lock_guard lock(m_mutex);
    if (era <= m_latestEra)
        return;
    m_latestEra = era;
    m_eraSeenAt = m_environment.clock.now();
}

auto CollectionCopy::isOutdated(Ports::StoreEra era) const -> bool
{
    const std::lock_guard lock(m_mutex);
    return era < m_latestEra;
}

auto CollectionCopy::applyUnlessOlder(const Ports::CollectionList& list) -> bool
{
    {
        const std::lock_guard listenerLock(m_listenerMutex);
        if (list.revision < revision() || isOutdated(list.revision.era()))
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
            if (m_isStopped || list.revision <= m_revision || list.revision.era() < m_latestEra)
                return false;
        }
        applyList(list, listenerLock);
    }
    m_environment.changed();
    return true;
}

auto CollectionCopy::applyList(const Ports::CollectionList& list, const std::lock_guard<std::mutex>&) -> void
{
    const bool isReturn = isLoaded() && list.revision.era() > revision().era();
    expectEra(list.revision.era());
    const bool isHolding = !m_held.isEmpty();
    std::set<std::string> knownBefore;
    if (isReturn || isHolding)
        knownBefore = m_environment.mirror.itemNames(m_name);
    m_environment.mirror.replaceAll(m_name, list);
    if (isReturn)
        mergeReturned(list, knownBefore);
    else if (isHolding)
        replaceAllButHeld(list, knownBefore);
    else
        m_listener.replaceAll(list);
    m_listener.commit();
    const std::lock_guard lock(m_mutex);
    m_revision = list.revision;
    m_isLoaded = true;
}

auto CollectionCopy::mergeReturned(const Ports::CollectionList& list, const std::set<std::string>& knownBefore) -> void
{
    m_listener.mergeReturned(list);
    m_held.hold(knownBefore, list);
    recordReturn(list);
    ++m_holdNumber;
    if (!m_held.isEmpty())
        scheduleEndOfHold(m_holdNumber, remainingHold());
}

auto CollectionCopy::replaceAllButHeld(const Ports::CollectionList& list, const std::set<std::string>& knownBefore)
    -> void
{
    m_listener.mergeReturned(list);
    m_held.releaseListed(list);
    auto removed = knownBefore;
    for (const auto& item : list.items)
        removed.erase(item.name);
    for (const auto& name : removed)
        m_listener.remove(name);
}

auto CollectionCopy::recordReturn(const Ports::CollectionList& list) -> void
{
    const auto known = revision();
    m_environment.events.record({ Ports::EventKind("store.returned-older"), {},
        { { "collection", m_name.value() }, { "revision", std::to_string(list.revision.number()) },
            { "era", std::to_string(list.revision.era().value()) }, { "knownRevision", std::to_string(known.number()) },
            { "knownEra", std::to_string(known.era().value()) }, { "items", std::to_string(list.items.size()) },
            { "held", std::to_string(m_held.size()) } } });
}

auto CollectionCopy::remainingHold() const -> Core::Duration
{
    const std::lock_guard lock(m_mutex);
    const auto passed = m_environment.clock.now() - m_eraSeenAt;
    return std::max(m_environment.returnHold - passed, m_environment.returnHold / shortestHoldDivisor);
}

auto CollectionCopy::scheduleEndOfHold(std::uint64_t number, Core::Duration delay) -> void
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopped)
        return;
    m_holdTimer = m_environment.scheduler.after(delay, [weak = weak_from_this(), number] {
        if (const auto self = weak.lock())
            self->endHold(number);
    });
}

auto CollectionCopy::endHold(std::uint64_t number) -> void
{
    const bool isCurrent = m_environment.isCurrent();
    std::set<std::string> names;
    {
        const std::lock_guard listenerLock(m_listenerMutex);
        if (number != m_holdNumber)
            return;
        if (!isCurrent) {
            scheduleEndOfHold(number, holdCheckInterval);
            return;
        }
        names = m_held.takeAll();
        for (const auto& name : names)
            m_listener.giveUp(name);
        m_listener.commit();
    }
    m_environment.events.record({ Ports::EventKind("store.hold-ended"), {},
        { { "collection", m_name.value() }, { "dropped", std::to_string(names.size()) } } });
    m_environment.changed();
}

auto CollectionCopy::applyChanges(const Ports::CollectionChanges& changes, Ports::StoreRevision base) -> bool
{
    {
        const std::lock_guard listenerLock(m_listenerMutex);
        const auto era = changes.revision.era();
        if (revision() != base || era != base.era() || isOutdated(era))
            return false;
        m_environment.mirror.apply(m_name, changes);
        for (const auto* change : lastChanges(changes)) {
            m_held.release(change->item.name);
            if (change->isDeleted)
                m_listener.remove(change->item.name);
            else
                m_listener.upsert(change->item);
        }
        m_listener.commit();
        const std::lock_guard lock(m_mutex);
        m_revision = std::max(m_revision, changes.revision);
    }
    m_environment.changed();
    return true;
}

} // namespace StoreSync
