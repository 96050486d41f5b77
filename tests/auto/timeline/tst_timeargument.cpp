#include "timeline/timeargument.h"

#include <boost/test/unit_test.hpp>

namespace {

const Core::WallTime now { std::chrono::seconds(1'000'000'000) };

} // namespace

BOOST_AUTO_TEST_SUITE(AnOperatorSpecifiesATime)

BOOST_AUTO_TEST_CASE(ThenUtcAndRelativeTimesAreParsed)
{
    BOOST_TEST((Timeline::parseTime("2001-09-09T01:46:40Z", {}).value() == now));
    BOOST_TEST((Timeline::parseTime("90s", now).value() == now - std::chrono::seconds(90)));
    BOOST_TEST((Timeline::parseTime("2d", now).value() == now - std::chrono::hours(48)));
    BOOST_TEST(Timeline::formatTime(now + std::chrono::microseconds(250)) == "2001-09-09T01:46:40.000250Z");
}

BOOST_AUTO_TEST_CASE(ThenAnythingElseIsRefusedWithARemedy)
{
    for (const auto* text :
        { "", "now", "10", "m", "-5m", "10y", "5mm", "99999999999999d", "2001-09-09", "0x5m", "2001-13-09T01:46:40Z",
            "2001-02-30T01:46:40Z", "2001-09-09T24:00:00Z", "2001-09-09T01:46:40+", "2001-09-09T01:4x:40Z" }) {
        const auto time = Timeline::parseTime(text, now);
        BOOST_TEST(!time.has_value(), text);
        BOOST_TEST(!time.error().remedy.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
