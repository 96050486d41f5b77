#include "dispatch/requestquarantine.h"

#include "core/hashing.h"

#include <algorithm>
#include <utility>

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
        const auto crashes = found->second.crashes.size();
        if (crashes >= crashLimit || (crashes > 0 && running != m_running.end()))
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
    if (isAnswered && found != m_entries.end() && found->second.crashes.size() < crashLimit)
        m_entries.erase(found);
}

auto RequestQuarantine::clear(const RequestFingerprint& fingerprint, Core::Instant now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.crashes.size() >= crashLimit)
        return;
    found->second = { {}, now, now };
}

auto RequestQuarantine::endWithCrash(
    const RequestFingerprint& fingerprint, const Core::UpstreamId& upstream, Core::Instant now) -> CrashReport
{
    const std::lock_guard lock(m_mutex);
    decrementRunning(fingerprint);
    // There is always room for a crash that is the last one.
    auto& entry = *entryFor(fingerprint, now, now);
    entry.crashes.insert_or_assign(upstream, now);
    entry.lastSeen = now;
    CrashReport crashReport { fingerprint, {} };
    for (const auto& [crashed, crashedAt] : entry.crashes)
        crashReport.upstreams.insert(crashed);
    return crashReport;
}

auto RequestQuarantine::Entry::isQuarantined(Core::Instant now) const -> bool
{
    return crashes.size() >= crashLimit && !isExpired(lastSeen, now);
}

auto RequestQuarantine::Entry::lastCrashes(const RequestFingerprint& fingerprint, Core::Instant now) const
    -> CrashReport
{
    std::vector<std::pair<Core::Instant, Core::UpstreamId>> byTime;
    for (const auto& [upstream, crashedAt] : crashes)
        byTime.emplace_back(crashedAt, upstream);
    const auto first = byTime.end() - static_cast<std::ptrdiff_t>(std::min(byTime.size(), crashLimit));
    std::nth_element(byTime.begin(), first, byTime.end());
    CrashReport crashReport { fingerprint, {}, now - lastSeen, now - first->first };
    for (auto crash = first; crash != byTime.end(); ++crash)
        crashReport.upstreams.insert(crash->second);
    return crashReport;
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
        if (entry.isQuarantined(now))
            crashReports.push_back(entry.lastCrashes(fingerprint, now));
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
    const auto firstCrashAt = now - std::max(crashReport.firstAge, crashReport.age);
    if (firstCrashAt <= entry->answeredAt)
        return false;
    const auto before = entry->crashes.size();
    for (const auto& upstream : crashReport.upstreams)
        entry->crashes.try_emplace(upstream, firstCrashAt);
    if (entry->crashes.size() == before)
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
    const auto value
        = [now](const auto& item) { return std::pair(item.second.isQuarantined(now), item.second.lastSeen); };
    const auto least = std::min_element(m_entries.begin(), m_entries.end(),
        [&](const auto& left, const auto& right) { return value(left) < value(right); });
    if (least->second.isQuarantined(now) && crashedAt < least->second.lastSeen)
        return false;
    m_entries.erase(least);
    return true;
}

auto RequestQuarantine::decrementRunning(const RequestFingerprint& fingerprint) -> void
{
    const auto running = m_running.find(fingerprint);
    if (--running->second == 0)
        m_running.erase(running);
}

} // namespace Dispatch
