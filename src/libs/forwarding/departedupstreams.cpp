#include "forwarding/departedupstreams.h"

#include <algorithm>

namespace Forwarding {

auto isOutdatedCopy(const UpstreamEntry& entry, const UpstreamEntry& known) -> bool
{
    if (entry.revision.era() <= known.revision.era())
        return false;
    if (entry.target.start != known.target.start)
        return entry.target.start < known.target.start;
    if (entry.report != known.report)
        return entry.report < known.report;
    return known.isDraining && !entry.isDraining;
}

auto DepartedUpstreams::record(const UpstreamEntry& last, Core::Instant now) -> void
{
    while (!m_departures.empty() && now - m_departures.front().at > memory) {
        m_last.erase(m_departures.front().id);
        m_departures.pop_front();
    }
    std::erase_if(m_departures, [&last](const Departure& departure) { return departure.id == last.target.id; });
    m_last[last.target.id] = last;
    m_departures.push_back({ last.target.id, now });
}

auto DepartedUpstreams::departureOf(const UpstreamEntry& entry) const -> const UpstreamEntry*
{
    const auto found = m_last.find(entry.target.id);
    if (found == m_last.end() || entry.revision.era() <= found->second.revision.era())
        return nullptr;
    return entry.target.start <= found->second.target.start ? &found->second : nullptr;
}

auto DepartedUpstreams::isNews(const UpstreamEntry& entry) const -> bool
{
    const auto isLater = [&entry](const UpstreamEntry& known) {
        return entry.target.start != known.target.start || entry.report > known.report;
    };
    const auto last = m_last.find(entry.target.id);
    const auto quarantined = m_quarantined.find(entry.target.id);
    return (last == m_last.end() || isLater(last->second))
        && (quarantined == m_quarantined.end() || isLater(quarantined->second.entry));
}

auto DepartedUpstreams::quarantine(const UpstreamEntry& entry, Core::Instant now) -> void
{
    auto& quarantined
        = m_quarantined.try_emplace(entry.target.id, Quarantined { {}, now + quarantineTime }).first->second;
    quarantined.entry = entry;
}

auto DepartedUpstreams::releaseUnlisted(const std::set<Core::UpstreamId>& listed) -> void
{
    std::erase_if(m_quarantined, [&listed](const auto& item) { return !listed.contains(item.first); });
}

auto DepartedUpstreams::takeDue(Core::Instant now) -> std::vector<UpstreamEntry>
{
    std::vector<UpstreamEntry> due;
    for (const auto& [id, quarantined] : m_quarantined) {
        if (quarantined.until <= now)
            due.push_back(quarantined.entry);
    }
    std::erase_if(m_quarantined, [now](const auto& item) { return item.second.until <= now; });
    return due;
}

auto DepartedUpstreams::nextDue() const -> std::optional<Core::Instant>
{
    std::optional<Core::Instant> next;
    for (const auto& [id, quarantined] : m_quarantined)
        next = next ? std::min(*next, quarantined.until) : quarantined.until;
    return next;
}

} // namespace Forwarding
