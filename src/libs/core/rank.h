#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Core {

/// Priority class of a service; urgent requests are served first.
enum class Rank : std::uint8_t { Urgent, Normal, Deferrable };

inline constexpr std::size_t rankCount = 3;
inline constexpr std::array<Rank, rankCount> allRanks { Rank::Urgent, Rank::Normal, Rank::Deferrable };

inline auto rankIndex(Rank rank) -> std::size_t { return static_cast<std::size_t>(rank); }

inline auto toString(Rank rank) -> std::string_view
{
    constexpr std::array<std::string_view, rankCount> names { "urgent", "normal", "deferrable" };
    return names.at(rankIndex(rank));
}

inline auto parseRank(std::string_view text) -> std::optional<Rank>
{
    for (const auto rank : allRanks) {
        if (toString(rank) == text)
            return rank;
    }
    return std::nullopt;
}

} // namespace Core
