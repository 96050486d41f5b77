#include "frontfixture.h"

#include <boost/test/unit_test.hpp>

using namespace HttpForwardTest;

namespace {

/// Statuses that fit the grammar of a status line but are outside of the range that HTTP defines.
const std::vector<std::string> undefinedStatuses { "000", "001", "099", "600", "999" };

auto answerWithStatus(const std::string& status) -> std::string
{
    return "HTTP/1.1 " + status + " Odd\r\nRequest-Id: ID\r\nX-Seal: s1\r\nContent-Length: 4\r\n\r\npegs";
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnAnswerWithABrokenHead)

BOOST_FIXTURE_TEST_SUITE(FromAnUpstream, ExchangeClientFixture)

/// Issue 41: an answer with the status 000 reached the caller.
BOOST_AUTO_TEST_CASE(IsInvalidIfItsStatusIsUndefined)
{
    for (const auto& status : undefinedStatuses) {
        ScriptedUpstream upstream({ answerWithStatus(status) });
        BOOST_TEST(toString(exchange(upstream.address(), "r1").outcome) == "invalid", status);
    }
}

BOOST_AUTO_TEST_CASE(LeavesTheNextRequestItsOwnConnection)
{
    ScriptedUpstream upstream({ answerWithStatus("000"), answer("ID", "pegs") });
    exchange(upstream.address(), "r1");
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r2")) == "pegs");
    BOOST_TEST(upstream.connections() == 2);
}

BOOST_AUTO_TEST_CASE(FailsAHealthCheck)
{
    ScriptedUpstream upstream({ answerWithStatus("000") });
    std::promise<bool> hasReport;
    exchanges.probeHealth(call(upstream.address(), "r1").target, "/health",
        [&hasReport](const Core::Result<Ports::HealthReport>& report) { hasReport.set_value(report.has_value()); });
    BOOST_TEST(!hasReport.get_future().get());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ToACaller, ForwardFrontFixture)

BOOST_AUTO_TEST_CASE(IsABadGatewayWithNothingOfTheUpstream)
{
    for (const auto& status : undefinedStatuses) {
        ScriptedUpstream upstream({ answerWithStatus(status), answerWithStatus(status) });
        serve(upstream);
        const auto reply = exchange("GET /stock/7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\n\r\n");
        BOOST_TEST(reply.starts_with("HTTP/1.1 502 "), reply);
        BOOST_TEST(reply.find("X-Seal") == std::string::npos, reply);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
