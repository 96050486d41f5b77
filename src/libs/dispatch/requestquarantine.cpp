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
    stopRunning(fingerprint);
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
    const RequestFingerprint& fingerprint, const Core::UpstreamId& upstream, Core::Instant now) -> CrashSuspicion
{
    const std::lock_guard lock(m_mutex);
    stopRunning(fingerprint);
    makeRoom(now);
    auto& entry = m_entries[fingerprint];
    entry.upstreams.insert(upstream);
    entry.lastSeen = now;
    return { fingerprint, entry.upstreams };
}

auto RequestQuarantine::suspicions() const -> std::vector<CrashSuspicion>
{
    const std::lock_guard lock(m_mutex);
    std::vector<CrashSuspicion> suspicions;
    for (const auto& [fingerprint, entry] : m_entries)
        suspicions.push_back({ fingerprint, entry.upstreams });
    return suspicions;
}

auto RequestQuarantine::merge(const std::vector<CrashSuspicion>& suspicions, Core::Instant now) -> bool
{
    const std::lock_guard lock(m_mutex);
    bool isNew = false;
    for (const auto& suspicion : suspicions) {
        makeRoom(now);
        auto& entry = m_entries[suspicion.fingerprint];
        const auto before = entry.upstreams.size();
        entry.upstreams.insert(suspicion.upstreams.begin(), suspicion.upstreams.end());
        if (entry.upstreams.size() == before)
            continue;
        entry.lastSeen = now;
        isNew = true;
    }
    return isNew;
}

auto RequestQuarantine::makeRoom(Core::Instant now) -> void
{
    if (m_entries.size() < maximumEntries)
        return;
    std::erase_if(m_entries, [&](const auto& item) { return now - item.second.lastSeen >= entryLifetime; });
    if (m_entries.size() < maximumEntries)
        return;
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
        [](const auto& left, const auto& right) { return left.second.lastSeen < right.second.lastSeen; }));
}

auto RequestQuarantine::stopRunning(const RequestFingerprint& fingerprint) -> void
{
    const auto running = m_running.find(fingerprint);
    if (--running->second == 0)
        m_running.erase(running);
}

} // namespace Dispatch
