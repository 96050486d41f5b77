#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace Steering {

/// Caps the growth, from one interval to the next, of the share of arriving requests that is relayed to another region.
/// Each entry VM limits its own arrivals, so that a whole failure domain keeps the cap without coordination.
class MovementLimiter {
public:
    struct Limits {
        /// Maximum growth of the share per interval, 0 to 1.
        Core::Share cap;
        Core::Duration interval;
    };

    auto countArrival(Core::Instant now, const Limits& limits) -> void;
    /// Reserves the relay of one request to the region. Returns false if the cap is reached in this interval. While the
    /// cap is above 0, at least one request per interval is allowed, so that low traffic can move at all.
    auto tryTake(const Core::RegionId& region, Core::Instant now, const Limits& limits) -> bool;
    /// Releases the reservation of a request that was not relayed.
    auto release(const Core::RegionId& region) -> void;

private:
    struct Movement {
        std::uint64_t moved = 0;
        /// Share of the previous interval's arrivals that was relayed to the region.
        double previousShare = 0;
    };

    auto advance(Core::Instant now, const Limits& limits) -> void;
    [[nodiscard]] auto allowance(const Movement& movement, const Limits& limits) const -> std::uint64_t;

    std::mutex m_mutex;
    Core::Instant m_intervalEnd;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_previousArrivals = 0;
    std::map<Core::RegionId, Movement> m_movements;
};

} // namespace Steering
