#include "storesync/sourcechoice.h"

#include <algorithm>

namespace StoreSync {

auto SourceChoice::isAvoided(const Core::Address& source, Core::Instant now) const -> bool
{
    const auto found = m_avoidedUntil.find(source);
    return found != m_avoidedUntil.end() && now < found->second;
}

auto SourceChoice::fromRanking(
    const std::vector<SourceCandidate>& ranking, Core::Duration overdue, Core::Instant now) const -> Choice
{
    std::vector<SourceCandidate> watchers;
    const auto further = static_cast<std::size_t>(std::max<Core::Duration>(overdue, {}) / timePerFurtherPlaces);
    const auto places = std::min(ranking.size(), m_watchers * (placesPerWatcher + further));
    for (std::size_t place = 0; place < places && watchers.size() < m_watchers; ++place) {
        const auto& candidate = ranking[place];
        if (!isAvoided(candidate.address, now))
            watchers.push_back(candidate);
    }
    if (watchers.empty())
        return { Kind::Wait, {} };
    if (std::any_of(watchers.begin(), watchers.end(), [](const auto& watcher) { return watcher.isSelf; }))
        return { Kind::ReadStore, {} };
    const auto near
        = std::find_if(watchers.begin(), watchers.end(), [](const auto& watcher) { return watcher.isNear; });
    return { Kind::Follow, near == watchers.end() ? watchers.front().address : near->address };
}

} // namespace StoreSync
