#pragma once

#include "core/sharded.h"
#include "timeline/filter.h"

#include <deque>

namespace Timeline {

/// Page of the entries of a ring, oldest first.
struct Page {
    std::vector<Entry> entries;
    /// True if more entries follow the last one.
    bool hasMore = false;
    /// Number of entries that were overwritten since the process started.
    std::uint64_t dropped = 0;
};

struct PageQuery {
    Filter filter;
    /// Selects only entries after this time.
    Core::HybridTime after;
    std::size_t limit = 0;
};

/// Ring buffer of the latest entries of this process. Entries of requests never displace other entries, so that state
/// changes remain readable during a flood of requests.
class EventRing : public EntrySink {
public:
    /// Half of the capacity, in entries, is reserved for requests, and the rest for all other events.
    explicit EventRing(std::size_t capacity);

    auto write(const Entry& entry) -> void override;
    [[nodiscard]] auto read(const PageQuery& query) -> Page;

private:
    struct State {
        std::deque<Entry> requestEvents;
        std::deque<Entry> otherEvents;
        std::uint64_t dropped = 0;
    };

    std::size_t m_capacityPerQueue;
    Core::Sharded<State> m_state;
};

} // namespace Timeline
