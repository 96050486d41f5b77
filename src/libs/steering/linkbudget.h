#pragma once

#include "core/ids.h"
#include "core/rank.h"
#include "core/units.h"

#include <array>
#include <compare>
#include <map>
#include <mutex>

namespace Steering {

/// What one entry VM may send over the link from one region to another, shared by rank: urgent work first, and each
/// rank keeps its floor.
class LinkBudget {
public:
    struct Limits {
        /// This entry VM's part of the link.
        Core::Mbit limit;
        /// Share of the budget that each rank keeps, 0 to 1, by rankIndex().
        std::array<double, Core::rankCount> floors {};
    };
    struct Direction {
        Core::RegionId from;
        Core::RegionId to;

        friend auto operator<=>(const Direction&, const Direction&) -> std::strong_ordering = default;
    };

    /// Takes room for the bytes. False when the rank has none in this window.
    auto take(const Direction& direction, Core::Rank rank, Core::Bytes size, Core::Instant now, const Limits& limits)
        -> bool;
    /// Counts bytes that were sent anyway, such as a reply.
    auto charge(const Direction& direction, Core::Rank rank, Core::Bytes size, Core::Instant now, const Limits& limits)
        -> void;
    /// Whether the rank could send anything now.
    auto hasRoom(const Direction& direction, Core::Rank rank, Core::Instant now, const Limits& limits) -> bool;

private:
    struct Window {
        Core::Instant end;
        std::array<double, Core::rankCount> usedBits {};
        std::array<double, Core::rankCount> previousBits {};
        /// Bits sent above the limit of earlier windows.
        double debtBits = 0;
    };

    auto windowOf(const Direction& direction, Core::Instant now, const Limits& limits) -> Window&;
    static auto freeBits(const Window& window, Core::Rank rank, const Limits& limits) -> double;

    std::mutex m_mutex;
    std::map<Direction, Window> m_windows;
};

} // namespace Steering
