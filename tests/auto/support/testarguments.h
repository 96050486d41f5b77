#pragma once

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>

namespace TestSupport {

/// Returns the value of the argument "NAME=VALUE" after "--" on the test program's command line.
inline auto argument(const std::string& name) -> std::optional<std::uint64_t>
{
    const auto& master = boost::unit_test::framework::master_test_suite();
    for (auto index = 1; index < master.argc; ++index) {
        const std::string text = master.argv[index];
        if (text.rfind(name + "=", 0) == 0)
            return std::strtoull(text.c_str() + name.size() + 1, nullptr, 10);
    }
    return std::nullopt;
}

/// Runs the function with consecutive seeds, starting with the argument SEED, for the number of seconds in the argument
/// SECONDS. Stops at the first seed that fails.
inline auto soak(bool (*runWithSeed)(std::uint64_t seed)) -> void
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(argument("SECONDS").value_or(10));
    for (auto seed = argument("SEED").value_or(1); std::chrono::steady_clock::now() < end; ++seed)
        BOOST_REQUIRE(runWithSeed(seed));
}

} // namespace TestSupport
