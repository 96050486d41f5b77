#include "dispatch/requestquarantine.h"

#include <algorithm>

namespace Dispatch {

namespace {

    constexpr std::size_t maximumEntries = 4096;
    constexpr std::chrono::hours entryLifetime { 1 };

} // namespace

auto RequestQuarantine::isQuarantined(const RequestFingerprint& fingerprint, Core::Instant now) const -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && found->second.upstreams.size() >= crashLimit
        && now - found->second.lastSeen < entryLifetime;
}

auto RequestQuarantine::tryBegin(const RequestFingerprint& fingerprint, Core::Instant now) -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto running = m_running.find(fingerprint);
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end() && now - found->second.lastSeen < entryLifetime) {
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
    evictIfFull(now);
    auto& entry = m_entries[fingerprint];
    entry.upstreams.insert(upstream);
    entry.lastSeen = now;
    return { fingerprint, entry.upstreams };
}

auto RequestQuarantine::crashReports() const -> std::vector<CrashReport>
{
    const std::lock_guard lock(m_mutex);
    std::vector<CrashReport> crashReports;
    for (const auto& [fingerprint, entry] : m_entries)
        crashReports.push_back({ fingerprint, entry.upstreams });
    return crashReports;
}

auto RequestQuarantine::merge(const std::vector<CrashReport>& crashReports, Core::Instant now) -> bool
{
    const std::lock_guard lock(m_mutex);
    bool isNew = false;
    for (const auto& crashReport : crashReports) {
        evictIfFull(now);
        auto& entry = m_entries[crashReport.fingerprint];
        const auto before = entry.upstreams.size();
        entry.upstreams.insert(crashReport.upstreams.begin(), crashReport.upstreams.end());
        if (entry.upstreams.size() == before)
            continue;
        entry.lastSeen = now;
        isNew = true;
    }
    return isNew;
}

auto RequestQuarantine::evictIfFull(Core::Instant now) -> void
{
    if (m_entries.size() < maximumEntries)
        return;
    std::erase_if(m_entries, [&](const auto& item) { return now - item.second.lastSeen >= entryLifetime; });
    if (m_entries.size() < maximumEntries)
        return;
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
        [](const auto& left, const auto& right) { return left.second.lastSeen < right.second.lastSeen; }));
}

auto RequestQuarantine::decrementRunning(const RequestFingerprint& fingerprint) -> void
{
    const auto running = m_running.find(fingerprint);
    if (--running->second == 0)
        m_running.erase(running);
}

} // namespace Dispatch
