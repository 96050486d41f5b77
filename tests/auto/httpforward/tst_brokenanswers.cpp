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

/// Names of fields with a blank or a control byte in front, inside or behind.
auto brokenNames() -> std::vector<std::string>
{
    std::string blanksAndControls = " \x7f";
    for (char control = 0; control < ' '; ++control)
        blanksAndControls += control;
    std::vector<std::string> names;
    for (const std::string name : { "Content-Length", "Transfer-Encoding", "X-Note" }) {
        for (const auto at : { std::size_t(0), std::size_t(1), name.size() }) {
            for (const auto byte : blanksAndControls) {
                names.push_back(name);
                names.back().insert(at, 1, byte);
            }
        }
    }
    return names;
}

/// Answers in which a line has the name: behind the status line, behind another field, and behind one without a value.
/// The connection ends behind them, so that one that is taken for an answer ends as well.
auto answersWithName(const std::string& name) -> std::vector<std::string>
{
    const std::string status = "CLOSE HTTP/1.1 200 OK\r\n";
    const auto line = name + ": 4\r\n";
    const std::string rest = "\r\npegs and more";
    return { status + line + "Request-Id: ID\r\n" + rest, status + "Request-Id: ID\r\nX-Seal: s1\r\n" + line + rest,
        status + "Request-Id: ID\r\nX-Empty:\r\n" + line + rest };
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

/// Issue 41: a line that began with a blank was passed on as a part of the value in front of it, or the body ended
/// elsewhere than its length said.
BOOST_AUTO_TEST_CASE(IsInvalidIfTheNameOfAFieldHasABlankOrAControlByte)
{
    for (const auto& name : brokenNames()) {
        for (const auto& broken : answersWithName(name)) {
            ScriptedUpstream upstream({ broken });
            BOOST_TEST(toString(exchange(upstream.address(), "r1").outcome) == "invalid", broken);
        }
    }
}

BOOST_AUTO_TEST_CASE(IsInvalidIfATrailerContinuesOnTheNextLine)
{
    const std::string head
        = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npegs\r\n0\r\n";
    ScriptedUpstream upstream({ head + "X-Sum: 7\r\n X-Note: 4\r\n\r\n" });
    BOOST_TEST(toString(exchange(upstream.address(), "r1").outcome) == "invalid");
}

BOOST_AUTO_TEST_CASE(IsNotOneWhoseValuesHaveBlanksAroundAndInside)
{
    for (const std::string value : { "", " ", "\t", "one", "  one two\t", "\tone\ttwo " }) {
        ScriptedUpstream upstream(
            { "HTTP/1.1 200 OK\r\nX-Kept:" + value + "\r\nRequest-Id: ID\r\nContent-Length: 4\r\n\r\npegs" });
        BOOST_TEST(toString(exchange(upstream.address(), "r1").outcome) == "answered", value);
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
    auto brokenAnswers = answersWithName(" X-Note");
    for (const auto& status : undefinedStatuses)
        brokenAnswers.push_back(answerWithStatus(status));
    for (const auto& broken : brokenAnswers) {
        ScriptedUpstream upstream({ broken, broken });
        serve(upstream);
        const auto reply = exchange("GET /stock/7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\n\r\n");
        BOOST_TEST(reply.starts_with("HTTP/1.1 502 "), reply);
        BOOST_TEST(reply.find("X-Seal") == std::string::npos, reply);
        BOOST_TEST(reply.find("X-Note") == std::string::npos, reply);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
