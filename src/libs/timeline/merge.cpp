#include "timeline/merge.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace Timeline {

namespace {

    /// A process gives each time to one event only, but another incarnation of it may repeat one after a clock step.
    auto orderOf(const Entry& entry) -> std::tuple<Core::HybridTime, const std::string&, const std::string&>
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
        [](const Entry& left, const Entry& right) { return orderOf(left) < orderOf(right); });
    const auto duplicates = std::unique(merged.begin(), merged.end(),
        [](const Entry& left, const Entry& right) { return orderOf(left) == orderOf(right); });
    merged.erase(duplicates, merged.end());
    return merged;
}

} // namespace Timeline
