#pragma once

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>

namespace TestSupport {

/// Value of "NAME=VALUE" among the test program's arguments after "--".
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

} // namespace TestSupport
