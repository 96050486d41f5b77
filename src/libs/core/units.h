#pragma once

#include "core/strongtype.h"

#include <chrono>
#include <cstdint>

namespace Core {

/// Clock type of the times that decisions are based on; monotonic within one process.
struct MonotonicClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
};

using Instant = MonotonicClock::time_point;
using Duration = MonotonicClock::duration;
using Millis = std::chrono::milliseconds;
/// Wall clock time in microseconds since the Unix epoch; may jump.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

using Mbit = StrongType<struct MbitTag, double>;
using Bytes = StrongType<struct BytesTag, std::uint64_t>;
/// Number of requests that an upstream can run concurrently.
using SlotCount = StrongType<struct SlotCountTag, std::uint32_t>;
using ConnectionCount = StrongType<struct ConnectionCountTag, std::uint32_t>;
/// Ratio in hundredths; 100 is a ratio of one.
using Percent = StrongType<struct PercentTag, std::uint32_t>;
/// Fraction of a whole, 0 to 1.
using Share = StrongType<struct ShareTag, double>;

/// Converts a duration to fractional milliseconds.
inline auto asMillis(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace Core
