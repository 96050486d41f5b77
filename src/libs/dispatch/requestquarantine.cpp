#include "dispatch/requestquarantine.h"

#include "core/hashing.h"

#include <algorithm>

namespace Dispatch {

namespace {

    constexpr std::size_t maximumEntries = 4096;

    auto isExpired(Core::Instant lastSeen, Core::Instant now) -> bool
    {
        return now - lastSeen >= RequestQuarantine::quarantineTime;
    }

    auto digestOf(const RequestFingerprint& fingerprint) -> std::uint64_t
    {
        return Core::scramble(fingerprint.high + Core::scramble(fingerprint.low));
    }

} // namespace

auto RequestQuarantine::isQuarantined(const RequestFingerprint& fingerprint, Core::Instant now) const -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && found->second.isQuarantined(now);
}

auto RequestQuarantine::tryBegin(const RequestFingerprint& fingerprint, Core::Instant now) -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto running = m_running.find(fingerprint);
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end() && !isExpired(found->second.lastSeen, now)) {
        if (found->second.upstreams.size() >= crashLimit || running != m_running.end())
            return false;
    }
    ++m_running[fingerprint];
    return true;
}

auto RequestQuarantine::end(const RequestFingerprint& fingerprint, bool isAnswered) -> void
{
    const std::lock_guard lock(m_mutex);
    decrementRunning(fingerprint);
    const auto found = m_entries.find(fingerprint);
    if (isAnswered && found != m_entries.end() && found->second.upstreams.size() < crashLimit)
        m_entries.erase(found);
}

auto RequestQuarantine::clear(const RequestFingerprint& fingerprint) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end() && found->second.upstreams.size() < crashLimit)
        m_entries.erase(found);
}

auto RequestQuarantine::endWithCrash(
    const RequestFingerprint& fingerprint, const Core::UpstreamId& upstream, Core::Instant now) -> CrashReport
{
    const std::lock_guard lock(m_mutex);
    decrementRunning(fingerprint);
    // There is always room for a crash that is the last one.
    auto& entry = *entryFor(fingerprint, now, now);
    entry.upstreams.insert(upstream);
    entry.lastSeen = now;
    return { fingerprint, entry.upstreams };
}

auto RequestQuarantine::Entry::isQuarantined(Core::Instant now) const -> bool
{
    return upstreams.size() >= crashLimit && !isExpired(lastSeen, now);
}

auto RequestQuarantine::summary(Core::Instant now) const -> QuarantineSummary
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t digest = 0;
    std::size_t requests = 0;
    for (const auto& [fingerprint, entry] : m_entries) {
        if (!entry.isQuarantined(now))
            continue;
        // The sum is the same in any order.
        digest += digestOf(fingerprint);
        ++requests;
    }
    if (requests > 0)
        digest = std::max<std::uint64_t>(digest, 1);
    return { QuarantineDigest(digest), requests };
}

auto RequestQuarantine::quarantined(const std::optional<RequestFingerprint>& after, std::size_t limit,
    Core::Instant now) const -> std::vector<CrashReport>
{
    const std::lock_guard lock(m_mutex);
    std::vector<CrashReport> crashReports;
    auto item = after ? m_entries.upper_bound(*after) : m_entries.begin();
    for (; item != m_entries.end() && crashReports.size() < limit; ++item) {
        const auto& [fingerprint, entry] = *item;
        if (!entry.isQuarantined(now))
            continue;
        const auto enough = std::next(entry.upstreams.begin(), crashLimit);
        crashReports.push_back({ fingerprint, { entry.upstreams.begin(), enough }, now - entry.lastSeen });
    }
    return crashReports;
}

auto RequestQuarantine::merge(const std::vector<CrashReport>& crashReports, Core::Instant now) -> bool
{
    const std::lock_guard lock(m_mutex);
    bool isNew = false;
    for (const auto& crashReport : crashReports)
        isNew = mergeReport(crashReport, now) || isNew;
    return isNew;
}

auto RequestQuarantine::mergeReport(const CrashReport& crashReport, Core::Instant now) -> bool
{
    const auto crashedAt = now - crashReport.age;
    if (crashReport.upstreams.empty() || isExpired(crashedAt, now))
        return false;
    auto* entry = entryFor(crashReport.fingerprint, crashedAt, now);
    if (entry == nullptr)
        return false;
    const auto before = entry->upstreams.size();
    entry->upstreams.insert(crashReport.upstreams.begin(), crashReport.upstreams.end());
    if (entry->upstreams.size() == before)
        return false;
    entry->lastSeen = std::max(entry->lastSeen, crashedAt);
    return true;
}

auto RequestQuarantine::entryFor(const RequestFingerprint& fingerprint, Core::Instant crashedAt, Core::Instant now)
    -> Entry*
{
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end() && !isExpired(found->second.lastSeen, now))
        return &found->second;
    if (found != m_entries.end())
        m_entries.erase(found);
    if (!makeRoom(crashedAt, now))
        return nullptr;
    return &m_entries.try_emplace(fingerprint, Entry { {}, crashedAt }).first->second;
}

auto RequestQuarantine::makeRoom(Core::Instant crashedAt, Core::Instant now) -> bool
{
    if (m_entries.size() < maximumEntries)
        return true;
    std::erase_if(m_entries, [&](const auto& item) { return isExpired(item.second.lastSeen, now); });
    if (m_entries.size() < maximumEntries)
        return true;
    const auto oldest = std::min_element(m_entries.begin(), m_entries.end(),
        [](const auto& left, const auto& right) { return left.second.lastSeen < right.second.lastSeen; });
    if (crashedAt < oldest->second.lastSeen)
        return false;
    m_entries.erase(oldest);
    return true;
}

auto RequestQuarantine::decrementRunning(const RequestFingerprint& fingerprint) -> void
{
    const auto running = m_running.find(fingerprint);
    if (--running->second == 0)
        m_running.erase(running);
}

} // namespace Dispatch
