#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Core {

/// Random 128-bit id that an entry VM generates at each start.
struct Incarnation {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const Incarnation&, const Incarnation&) -> std::strong_ordering = default;
};

/// Returns 32 lower-case hexadecimal digits.
auto toString(const Incarnation& incarnation) -> std::string;
/// Parses the result of toString(); returns nullopt for any other text.
auto parseIncarnation(std::string_view text) -> std::optional<Incarnation>;

} // namespace Core

template <> struct std::hash<Core::Incarnation> {
    auto operator()(const Core::Incarnation& incarnation) const noexcept -> std::size_t
    {
        return std::hash<std::uint64_t> {}(incarnation.high ^ incarnation.low);
    }
};
