#include "timeline/eventring.h"

#include <algorithm>

namespace Timeline {

namespace {

    constexpr std::size_t queuesPerShard = 2;

    auto shardKey(const Ports::Event& event) -> const std::string&
    {
        return event.request.value().empty() ? event.kind.value() : event.request.value();
    }

    auto isEarlier(const Entry& left, const Entry& right) -> bool { return left.time < right.time; }

    auto appendMatches(const std::deque<Entry>& queue, const PageQuery& query, std::vector<Entry>& entries) -> void
    {
        for (const auto& entry : queue) {
            if (entry.time > query.after && query.filter.matches(entry))
                entries.push_back(entry);
        }
    }

} // namespace

EventRing::EventRing(std::size_t capacity)
    : m_capacityPerQueue(std::max<std::size_t>(capacity / (Core::defaultShardCount * queuesPerShard), 1))
{
}

auto EventRing::write(const Entry& entry) -> void
{
    m_state.with(shardKey(entry.event), [&](State& state) {
        auto& queue = entry.event.request.value().empty() ? state.otherEvents : state.requestEvents;
        if (queue.size() == m_capacityPerQueue) {
            queue.pop_front();
            ++state.dropped;
        }
        queue.push_back(entry);
    });
}

auto EventRing::read(const PageQuery& query) -> Page
{
    Page page;
    m_state.forEach([&](State& state) {
        page.dropped += state.dropped;
        appendMatches(state.requestEvents, query, page.entries);
        appendMatches(state.otherEvents, query, page.entries);
    });
    std::sort(page.entries.begin(), page.entries.end(), isEarlier);
    page.hasMore = page.entries.size() > query.limit;
    if (page.hasMore)
        page.entries.resize(query.limit);
    return page;
}

} // namespace Timeline
