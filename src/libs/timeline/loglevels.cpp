#include "timeline/loglevels.h"

#include <algorithm>
#include <array>

namespace Timeline {

namespace {

    using Ports::LogLevel;

    constexpr std::array<std::string_view, 2> debugKinds { "request.received", "request.answered" };
    constexpr std::array<std::string_view, 7> warningEndings { ".refused", ".failed", ".suspected", ".quarantined",
        ".ejected", ".conflict", ".stalled" };
    constexpr std::array<std::string_view, 2> errorEndings { ".crashed", ".broken" };

    template <std::size_t size>
    auto endsWithAny(std::string_view kind, const std::array<std::string_view, size>& endings) -> bool
    {
        return std::any_of(
            endings.begin(), endings.end(), [kind](std::string_view ending) { return kind.ends_with(ending); });
    }

} // namespace

auto logLevelOf(const Ports::EventKind& kind) -> LogLevel
{
    const std::string_view name(kind.value());
    if (std::find(debugKinds.begin(), debugKinds.end(), name) != debugKinds.end())
        return LogLevel::Debug;
    if (name.starts_with("request."))
        return LogLevel::Info;
    if (endsWithAny(name, errorEndings))
        return LogLevel::Error;
    return endsWithAny(name, warningEndings) ? LogLevel::Warning : LogLevel::Info;
}

} // namespace Timeline
