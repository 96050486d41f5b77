#pragma once

#include "core/error.h"
#include "core/units.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace Core {

/// Timestamp of a hybrid logical clock. Orders causes before their effects and stays close to wall time.
struct HybridTime {
    WallTime wall;
    /// Counts timestamps within the same microsecond.
    std::uint32_t logical = 0;

    friend auto operator<=>(const HybridTime&, const HybridTime&) -> std::strong_ordering = default;
    friend auto operator==(const HybridTime&, const HybridTime&) -> bool = default;
};

/// Formats the time as "MICROSECONDS.LOGICAL", for example "1764846000000000.3".
auto toString(const HybridTime& time) -> std::string;

auto parseHybridTime(std::string_view text) -> Result<HybridTime>;

} // namespace Core
