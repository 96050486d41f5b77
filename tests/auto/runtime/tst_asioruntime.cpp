#include "runtime/asioruntime.h"

#include <boost/test/unit_test.hpp>
#include <stdexcept>

BOOST_AUTO_TEST_SUITE(ARuntime)

BOOST_AUTO_TEST_SUITE(WithATaskThatThrows)

BOOST_AUTO_TEST_CASE(ReportsItAndRunsTheOthers)
{
    Runtime::AsioRuntime runtime(2);
    std::vector<std::string> problems;
    runtime.post([] { throw std::runtime_error("an unexpected error"); });
    const auto timer = runtime.after(Core::Millis(20), [&runtime] { runtime.stop(); });
    runtime.run([&problems](const std::string& problem) { problems.push_back(problem); });
    BOOST_REQUIRE(problems.size() == 1U);
    BOOST_TEST(problems.front() == "an unexpected error");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
