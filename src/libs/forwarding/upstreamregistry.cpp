#include "forwarding/upstreamregistry.h"

#include <algorithm>

namespace Forwarding {

UpstreamRegistry::UpstreamRegistry(Environment environment, ChangeCallback changed)
    : m_environment(environment)
    , m_changed(std::move(changed))
{
}

auto UpstreamRegistry::replaceAll(const std::vector<UpstreamEntry>& entries, bool mayBeStale) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto now = m_environment.clock.now();
    std::set<Core::UpstreamId> listed;
    for (const auto& entry : entries) {
        listed.insert(entry.target.id);
        putListed(entry, mayBeStale || mayBeOutdated(now));
    }
    m_departed.releaseUnlisted(listed);
    std::vector<Core::UpstreamId> unlisted;
    for (const auto& [id, entry] : m_entries) {
        if (!listed.contains(id))
            unlisted.push_back(id);
    }
    for (const auto& id : unlisted)
        drop(id, now);
}

auto UpstreamRegistry::mergeReturned(const std::vector<UpstreamEntry>& entries) -> void
{
    const std::lock_guard lock(m_mutex);
    for (const auto& entry : entries)
        putListed(entry, true);
}

auto UpstreamRegistry::upsert(const UpstreamEntry& entry) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto* later = laterStatement(entry);
    const bool isKnown = m_entries.contains(entry.target.id);
    // Another start is new, whatever its number: the clock of the upstream may have been set back.
    const bool isNews = later == nullptr || later->target.start != entry.target.start
        || (!isKnown && !later->isDraining && m_departed.isNews(entry));
    if (isNews)
        put(entry, mayBeOutdated(m_environment.clock.now()));
    else
        keepLater(entry, *later);
}

auto UpstreamRegistry::remove(const Core::UpstreamId& id) -> void
{
    const std::lock_guard lock(m_mutex);
    drop(id, m_environment.clock.now());
}

auto UpstreamRegistry::giveUp(const Core::UpstreamId& id, Ports::StoreEra era) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    record("upstream.given-up", found->second);
    auto last = found->second;
    // One that had said it leaves has done so. Of the others it is known from this era on only, in which they may
    // register again.
    if (!last.isDraining)
        last.revision = Ports::StoreRevision(last.revision.number(), era);
    m_departed.record(last, m_environment.clock.now());
    m_entries.erase(found);
}

auto UpstreamRegistry::putListed(const UpstreamEntry& entry, bool mayBeStale) -> void
{
    const auto* later = laterStatement(entry);
    const bool isWrittenSince = m_departed.isInQuarantine(entry.target.id) && m_departed.isNews(entry);
    if (later == nullptr || isWrittenSince)
        put(entry, mayBeStale);
    else
        keepLater(entry, *later);
}

auto UpstreamRegistry::keepLater(const UpstreamEntry& entry, const UpstreamEntry& later) -> void
{
    m_missing.erase(entry.target.id);
    const bool isUsed = m_entries.contains(entry.target.id);
    if (!isUsed && !later.isDraining) {
        m_departed.quarantine(entry, m_environment.clock.now());
        scheduleReadmission();
    }
    if (!isUsed || later.isDraining)
        record("upstream.outdated-copy", later);
}

auto UpstreamRegistry::laterStatement(const UpstreamEntry& entry) const -> const UpstreamEntry*
{
    const auto found = m_entries.find(entry.target.id);
    if (found == m_entries.end())
        return m_departed.departureOf(entry);
    return isOutdatedCopy(entry, found->second) ? &found->second : nullptr;
}

auto UpstreamRegistry::put(const UpstreamEntry& entry, bool mayBeStale) -> void
{
    m_missing.erase(entry.target.id);
    m_departed.release(entry.target.id);
    const auto found = m_entries.find(entry.target.id);
    const bool isFirst = found == m_entries.end();
    const bool hasChanged
        = isFirst || found->second.target != entry.target || found->second.isDraining != entry.isDraining;
    auto& kept = m_entries[entry.target.id];
    kept = entry;
    kept.mayBeOutdated = isFirst && mayBeStale;
    if (hasChanged)
        record(entry.isDraining ? "upstream.draining" : "upstream.listed", entry);
}

auto UpstreamRegistry::scheduleReadmission() -> void
{
    const auto due = m_departed.nextDue();
    if (!due)
        return;
    const auto delay = std::max<Core::Duration>(*due - m_environment.clock.now(), {});
    m_readmissionTimer = m_environment.scheduler.after(delay, [this] { readmit(); });
}

auto UpstreamRegistry::readmit() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        // While the store is away, it cannot be told whether they are still listed.
        if (m_isStoreLost)
            return;
        for (const auto& entry : m_departed.takeDue(m_environment.clock.now()))
            put(entry, true);
        scheduleReadmission();
    }
    commit();
}

auto UpstreamRegistry::drop(const Core::UpstreamId& id, Core::Instant now) -> void
{
    m_departed.release(id);
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    // An upstream that was draining has left on purpose, even if the store was unreachable.
    if (isInGracePeriod(now) && !found->second.isDraining) {
        m_missing.insert(id);
        return;
    }
    record("upstream.left", found->second);
    m_departed.record(found->second, now);
    m_entries.erase(found);
}

auto UpstreamRegistry::mayBeOutdated(Core::Instant now) const -> bool
{
    return isInGracePeriod(now) || now < m_outdatedUntil;
}

auto UpstreamRegistry::expectOutdatedEntries() -> void
{
    const std::lock_guard lock(m_mutex);
    m_outdatedUntil = m_environment.clock.now() + storeReturnGracePeriod;
}

auto UpstreamRegistry::isInGracePeriod(Core::Instant now) const -> bool
{
    return m_isStoreLost || (m_graceUntil && now < *m_graceUntil);
}

auto UpstreamRegistry::commit() -> void
{
    const std::lock_guard commitLock(m_commitMutex);
    UpstreamEntries entries;
    {
        const std::lock_guard lock(m_mutex);
        entries = m_entries;
    }
    m_changed(entries);
}

auto UpstreamRegistry::storeLost() -> void
{
    const std::lock_guard lock(m_mutex);
    m_isStoreLost = true;
}

auto UpstreamRegistry::storeRegained() -> void
{
    const std::lock_guard lock(m_mutex);
    if (!std::exchange(m_isStoreLost, false))
        return;
    scheduleReadmission();
    m_graceUntil = m_environment.clock.now() + storeReturnGracePeriod;
    m_graceTimer = m_environment.scheduler.after(storeReturnGracePeriod, [this] { dropMissing(); });
}

auto UpstreamRegistry::dropMissing() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStoreLost)
            return;
        m_graceUntil.reset();
        for (const auto& id : std::exchange(m_missing, {}))
            drop(id, m_environment.clock.now());
    }
    commit();
}

auto UpstreamRegistry::record(const char* kind, const UpstreamEntry& entry) -> void
{
    m_environment.events.record({ Ports::EventKind(kind), {},
        { { "upstream", entry.target.id.value() }, { "start", std::to_string(entry.target.start.value()) },
            { "service", entry.service.value() }, { "failureDomain", entry.failureDomain.value() },
            { "address", entry.target.address.value() } } });
}

} // namespace Forwarding
