#pragma once

#include "core/strongtype.h"

#include <chrono>
#include <cstdint>

namespace Core {

/// Time source of the decisions: monotonic within one process.
struct SteeringClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<SteeringClock>;
};

using Instant = SteeringClock::time_point;
using Duration = SteeringClock::duration;
using Millis = std::chrono::milliseconds;
/// Wall clock time in microseconds since the Unix epoch; may step.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

using Mbit = StrongType<struct MbitTag, double>;
using Bytes = StrongType<struct BytesTag, std::uint64_t>;
/// Requests that an upstream can run at the same time.
using SlotCount = StrongType<struct SlotCountTag, std::uint32_t>;
using ConnectionCount = StrongType<struct ConnectionCountTag, std::uint32_t>;
/// Share of a whole, 0 to 1.
using Share = StrongType<struct ShareTag, double>;

/// Milliseconds of a duration, with fraction.
inline auto asMillis(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace Core
