#include "core/hybridtime.h"

#include <charconv>

namespace Core {

auto toString(const HybridTime& time) -> std::string
{
    return std::to_string(time.wall.time_since_epoch().count()) + '.' + std::to_string(time.logical);
}

auto parseHybridTime(std::string_view text) -> Result<HybridTime>
{
    std::int64_t microseconds = 0;
    std::uint32_t logical = 0;
    const auto* end = text.data() + text.size();
    const auto wall = std::from_chars(text.data(), end, microseconds);
    if (wall.ec == std::errc() && microseconds >= 0 && wall.ptr != end && *wall.ptr == '.') {
        const auto rest = std::from_chars(wall.ptr + 1, end, logical);
        if (rest.ec == std::errc() && rest.ptr == end)
            return HybridTime { WallTime(std::chrono::microseconds(microseconds)), logical };
    }
    return fail(ErrorKind::InvalidArgument, "'" + std::string(text) + "' is not a hybrid time",
        "use MICROSECONDS.LOGICAL, as printed in the timeline");
}

} // namespace Core
