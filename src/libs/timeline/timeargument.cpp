#include "timeline/timeargument.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <optional>

namespace Timeline {

namespace {

    using std::chrono::days;
    using std::chrono::seconds;

    constexpr std::int64_t maximumRelativeCount = 1'000'000;

    auto secondsPer(char unit) -> std::int64_t
    {
        constexpr std::int64_t minute = 60;
        constexpr std::int64_t hour = 3600;
        constexpr std::int64_t day = 24 * hour;
        switch (unit) {
        case 's':
            return 1;
        case 'm':
            return minute;
        case 'h':
            return hour;
        case 'd':
            return day;
        default:
            return 0;
        }
    }

    auto parseRelativeTime(const std::string& text, Core::WallTime now) -> std::optional<Core::WallTime>
    {
        std::int64_t count = 0;
        const auto* end = text.data() + text.size();
        const auto [parsed, error] = std::from_chars(text.data(), end, count);
        if (error != std::errc() || count < 0 || count > maximumRelativeCount || parsed + 1 != end
            || secondsPer(*parsed) == 0)
            return std::nullopt;
        return now - seconds(count * secondsPer(*parsed));
    }

    /// Parses the number at the given position; returns nullopt if a character is not a digit.
    auto numberAt(const std::string& text, std::size_t start, std::size_t length) -> std::optional<int>
    {
        int number = 0;
        const auto* end = text.data() + start + length;
        const auto [parsed, error] = std::from_chars(text.data() + start, end, number);
        if (error != std::errc() || parsed != end || number < 0)
            return std::nullopt;
        return number;
    }

    auto hasUtcPattern(const std::string& text) -> bool
    {
        const std::string pattern = "dddd-dd-ddTdd:dd:ddZ";
        if (text.size() != pattern.size())
            return false;
        for (std::size_t index = 0; index < text.size(); ++index) {
            const bool isDigit = text[index] >= '0' && text[index] <= '9';
            if (pattern[index] == 'd' ? !isDigit : text[index] != pattern[index])
                return false;
        }
        return true;
    }

    auto parseUtc(const std::string& text) -> std::optional<Core::WallTime>
    {
        if (!hasUtcPattern(text))
            return std::nullopt;
        const auto field = [&text](std::size_t start, std::size_t length) { return *numberAt(text, start, length); };
        const std::chrono::year_month_day date { std::chrono::year(field(0, 4)),
            std::chrono::month(static_cast<unsigned>(field(5, 2))),
            std::chrono::day(static_cast<unsigned>(field(8, 2))) };
        constexpr int lastHour = 23;
        constexpr int lastMinuteOrSecond = 59;
        const int hour = field(11, 2);
        const int minute = field(14, 2);
        const int second = field(17, 2);
        if (!date.ok() || hour > lastHour || minute > lastMinuteOrSecond || second > lastMinuteOrSecond)
            return std::nullopt;
        return std::chrono::sys_days(date) + std::chrono::hours(hour) + std::chrono::minutes(minute) + seconds(second);
    }

} // namespace

auto parseTime(const std::string& text, Core::WallTime now) -> Core::Result<Core::WallTime>
{
    if (const auto time = parseRelativeTime(text, now))
        return *time;
    if (const auto time = parseUtc(text))
        return *time;
    return Core::fail(Core::ErrorKind::InvalidArgument, "'" + text + "' is not a valid time",
        "use UTC as 2026-12-04T11:00:00Z, or a time ago as 90s, 10m, 2h or 1d");
}

auto formatTime(Core::WallTime time) -> std::string
{
    const auto day = std::chrono::floor<days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(time - day);
    std::array<char, 64> text {};
    const auto length = std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%06dZ",
        static_cast<int>(date.year()), static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
        static_cast<int>(clock.hours().count()), static_cast<int>(clock.minutes().count()),
        static_cast<int>(clock.seconds().count()), static_cast<int>(clock.subseconds().count()));
    return { text.data(), static_cast<std::size_t>(length) };
}

} // namespace Timeline
