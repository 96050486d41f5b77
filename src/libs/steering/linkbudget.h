#pragma once

#include "core/ids.h"
#include "core/rank.h"
#include "core/units.h"

#include <array>
#include <compare>
#include <map>
#include <mutex>

namespace Steering {

/// Limits the data that one entry VM sends over the link from one region to another. Urgent work has priority, and each
/// rank is guaranteed its floor.
class LinkBudget {
public:
    struct Limits {
        /// This entry VM's share of the link budget.
        Core::Mbit limit;
        /// Share of the budget guaranteed to each rank, 0 to 1, indexed by rankIndex().
        std::array<double, Core::rankCount> floors {};
    };
    struct Direction {
        Core::RegionId from;
        Core::RegionId to;

        friend auto operator<=>(const Direction&, const Direction&) -> std::strong_ordering = default;
    };

    /// Charges the bytes to the budget. Returns false, without a charge, if the rank has too little left in this
    /// window.
    auto tryTake(const Direction& direction, Core::Rank rank, Core::Bytes size, Core::Instant now, const Limits& limits)
        -> bool;
    /// Charges bytes that are sent regardless of the budget, such as a reply.
    auto charge(const Direction& direction, Core::Rank rank, Core::Bytes size, Core::Instant now, const Limits& limits)
        -> void;
    /// Returns true if the rank has any budget left in this window.
    auto hasCapacity(const Direction& direction, Core::Rank rank, Core::Instant now, const Limits& limits) -> bool;

private:
    struct Window {
        Core::Instant end;
        std::array<double, Core::rankCount> usedBits {};
        std::array<double, Core::rankCount> previousBits {};
        /// Bits sent in excess of the limit in earlier windows.
        double debtBits = 0;
    };

    auto currentWindow(const Direction& direction, Core::Instant now, const Limits& limits) -> Window&;
    static auto freeBits(const Window& window, Core::Rank rank, const Limits& limits) -> double;

    std::mutex m_mutex;
    std::map<Direction, Window> m_windows;
};

} // namespace Steering
