#pragma once

#include <string>
#include <utility>
#include <vector>

namespace PlatformTest {

/// Texts that a faulty program may leave as a value in the platform's store, by what is odd about them.
inline auto oddTexts() -> std::vector<std::pair<std::string, std::string>>
{
    constexpr std::size_t deep = 100'000;
    const auto opened = std::string(deep, '[');
    const auto closed = std::string(deep, ']');
    return { { "nested very deep", opened + closed }, { "a number that is too large", R"({"slots":1e999})" },
        { "a number with many digits", "9" + std::string(400, '0') }, { "an invalid byte", "\"pegs \xff\xfe\"" },
        { "not JSON", "{pegs: yes, 'x'}" }, { "another type", "[1,\"two\",null]" }, { "null", "null" } };
}

} // namespace PlatformTest
