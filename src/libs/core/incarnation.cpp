#include "core/incarnation.h"

#include <charconv>
#include <cstdio>

namespace Core {

namespace {

    constexpr std::size_t digitsPerWord = 16;
    constexpr int hexadecimal = 16;

    auto parseWord(std::string_view digits) -> std::optional<std::uint64_t>
    {
        std::uint64_t word = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), word, hexadecimal);
        if (error != std::errc() || end != digits.data() + digits.size())
            return std::nullopt;
        return word;
    }

} // namespace

auto toString(const Incarnation& incarnation) -> std::string
{
    std::string text(2 * digitsPerWord + 1, '\0');
    std::snprintf(text.data(), text.size(), "%016lx%016lx", incarnation.high, incarnation.low);
    text.pop_back();
    return text;
}

auto parseIncarnation(std::string_view text) -> std::optional<Incarnation>
{
    if (text.size() != 2 * digitsPerWord)
        return std::nullopt;
    const auto high = parseWord(text.substr(0, digitsPerWord));
    const auto low = parseWord(text.substr(digitsPerWord));
    if (!high || !low)
        return std::nullopt;
    return Incarnation { *high, *low };
}

} // namespace Core
