#pragma once

#include "core/sharded.h"
#include "timeline/filter.h"

#include <deque>

namespace Timeline {

/// Part of a ring's entries, oldest first.
struct Page {
    std::vector<Entry> entries;
    /// Further entries follow the last one.
    bool hasMore = false;
    /// Entries that were overwritten since the process started.
    std::uint64_t dropped = 0;
};

struct PageQuery {
    Filter filter;
    /// Only entries after this time.
    Core::HybridTime after;
    std::size_t limit = 0;
};

/// Holds the latest entries of this process. Entries of requests never displace the others, so that a flood leaves the
/// changes of state readable.
class EventRing : public EntrySink {
public:
    /// Half of the capacity, in entries, is for requests; the rest for all other events.
    explicit EventRing(std::size_t capacity);

    auto write(const Entry& entry) -> void override;
    [[nodiscard]] auto read(const PageQuery& query) -> Page;

private:
    struct State {
        std::deque<Entry> requests;
        std::deque<Entry> others;
        std::uint64_t dropped = 0;
    };

    std::size_t m_capacityPerQueue;
    Core::Sharded<State> m_state;
};

} // namespace Timeline
