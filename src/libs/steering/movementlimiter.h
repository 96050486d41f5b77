#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace Steering {

/// Caps by how much the part of the arriving requests that leaves for a region may grow from one interval to the
/// next. Each entry VM limits its own arrivals, so that the sum over a failure domain keeps the cap without messages.
class MovementLimiter {
public:
    struct Limits {
        /// Growth allowed in one interval, 0 to 1.
        Core::Share cap;
        Core::Duration interval;
    };

    auto countArrival(Core::Instant now, const Limits& limits) -> void;
    /// Takes room for one request towards the region. False when the cap leaves none in this interval. At least one
    /// request per interval may leave while the cap is above 0, so that small traffic can move at all.
    auto takeRoom(const Core::RegionId& region, Core::Instant now, const Limits& limits) -> bool;
    /// Gives back room of a request that did not leave.
    auto returnRoom(const Core::RegionId& region) -> void;

private:
    struct Movement {
        std::uint64_t moved = 0;
        /// Share of the previous interval's arrivals that left for the region.
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
