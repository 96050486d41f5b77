#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Ports {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

inline constexpr std::array<std::string_view, 4> logLevelNames { "debug", "info", "warning", "error" };

inline auto toString(LogLevel level) -> std::string_view { return logLevelNames.at(static_cast<std::size_t>(level)); }

inline auto parseLogLevel(std::string_view text) -> std::optional<LogLevel>
{
    for (std::size_t index = 0; index < logLevelNames.size(); ++index) {
        if (logLevelNames.at(index) == text)
            return static_cast<LogLevel>(index);
    }
    return std::nullopt;
}

/// Controls the least severe level that is logged, which may change at run time.
class LogControl {
public:
    virtual ~LogControl() = default;
    [[nodiscard]] virtual auto level() const -> LogLevel = 0;
    virtual auto setLevel(LogLevel level) -> void = 0;
};

} // namespace Ports
