#include "timeline/merge.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace Timeline {

namespace {

    /// A process assigns each time to only one event, but another incarnation of it may repeat a time after a clock
    /// step.
    auto sortKey(const Entry& entry) -> std::tuple<Core::HybridTime, const std::string&, const std::string&>
    {
        return { entry.time, entry.process.value(), entry.event.kind.value() };
    }

} // namespace

auto merge(std::vector<std::vector<Entry>> sources) -> std::vector<Entry>
{
    std::vector<Entry> merged;
    for (auto& source : sources)
        merged.insert(merged.end(), std::make_move_iterator(source.begin()), std::make_move_iterator(source.end()));
    std::stable_sort(merged.begin(), merged.end(),
        [](const Entry& left, const Entry& right) { return sortKey(left) < sortKey(right); });
    const auto duplicates = std::unique(merged.begin(), merged.end(),
        [](const Entry& left, const Entry& right) { return sortKey(left) == sortKey(right); });
    merged.erase(duplicates, merged.end());
    return merged;
}

} // namespace Timeline
