#include "exchangefixture.h"
#include "largebodies.h"
#include "streamreading.h"

#include <boost/test/unit_test.hpp>

using namespace HttpForwardTest;
using Ports::ExchangeOutcome;

namespace {

constexpr std::size_t largeBytes = 4UL * 1024 * 1024;
/// What an upstream can write that nobody reads: the buffers of both sockets, and a part.
constexpr std::size_t unreadLimit = 8UL * 1024 * 1024;
const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n";

struct LargeAnswer : ExchangeClientFixture {
    auto isWhole(const Ports::ExchangeResult& result) const -> bool
    {
        BOOST_REQUIRE((result.outcome == ExchangeOutcome::Answered));
        BOOST_REQUIRE(result.body);
        BOOST_TEST(bodyOf(result).empty());
        const auto whole = readAll(*result.body);
        return whole && *whole == body;
    }

    /// Reads the answer until it breaks off.
    static auto failureOf(const Ports::ExchangeResult& result) -> Core::ErrorKind
    {
        BOOST_REQUIRE(result.body);
        const auto whole = readAll(*result.body);
        BOOST_REQUIRE(!whole);
        return whole.error().kind;
    }

    const std::string body = numberedBody(largeBytes);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ALargeAnswer, LargeAnswer)

BOOST_AUTO_TEST_SUITE(ArrivesWhole)

BOOST_AUTO_TEST_CASE(WithALengthAndItsConnectionIsReused)
{
    ScriptedUpstream upstream({ answer("ID", body), answer("ID", "small"), answer("ID", body) });
    BOOST_TEST(isWhole(exchange(upstream.address(), "r1")));
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r2")) == "small");
    BOOST_TEST(isWhole(exchange(upstream.address(), "r3")));
    BOOST_TEST(upstream.connections() == 1);
}

BOOST_AUTO_TEST_CASE(InChunksWithTrailers)
{
    ScriptedUpstream upstream(
        { head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body) + "X-Sum: 7\r\n\r\n", answer("ID", "small") });
    BOOST_TEST(isWhole(exchange(upstream.address(), "r1")));
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r2")) == "small");
    BOOST_TEST(upstream.connections() == 1);
}

BOOST_AUTO_TEST_CASE(WithoutALengthAndEndsWithItsConnection)
{
    ScriptedUpstream upstream({ "CLOSE " + head + "\r\n" + body, answer("ID", "small") });
    int ended = 0;
    BOOST_TEST(isWhole(exchange(upstream.address(), "r1")));
    auto second = call(upstream.address(), "r2");
    second.onConnectionClosed = [&ended] { ++ended; };
    std::promise<ExchangeOutcome> outcome;
    exchanges.start(
        std::move(second), [&outcome](const Ports::ExchangeResult& result) { outcome.set_value(result.outcome); });
    BOOST_TEST((outcome.get_future().get() == ExchangeOutcome::Answered));
    BOOST_TEST(upstream.connections() == 2);
    // The end of the first connection was announced, and is no sign of a restart.
    BOOST_TEST(ended == 0);
}

BOOST_AUTO_TEST_CASE(BehindInterimAnswers)
{
    ScriptedUpstream upstream({ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n" + answer("ID", body) });
    BOOST_TEST(isWhole(exchange(upstream.address(), "r1")));
}

BOOST_AUTO_TEST_CASE(BehindALargeAnswerToAnotherRequestWhoseConnectionIsNotReused)
{
    ScriptedUpstream upstream({ answer("other", body) + answer("ID", body), answer("ID", "small") });
    BOOST_TEST(isWhole(exchange(upstream.address(), "r1")));
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r2")) == "small");
    BOOST_TEST(upstream.connections() == 2);
}

BOOST_AUTO_TEST_CASE(WithBytesBehindItWhichReachNobody)
{
    ScriptedUpstream upstream({ answer("ID", body) + answer("r2", "crossed"), answer("ID", "own") });
    BOOST_TEST(isWhole(exchange(upstream.address(), "r1")));
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r2")) == "own");
    BOOST_TEST(upstream.connections() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsNotWaitedFor)

BOOST_AUTO_TEST_CASE(WhenThereIsNoBody)
{
    const auto announced = head + "Content-Length: 4000000\r\n\r\n";
    ScriptedUpstream upstream({ "HTTP/1.1 304 Not Modified\r\nRequest-Id: ID\r\nContent-Length: 4000000\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nRequest-Id: ID\r\n\r\n", announced });
    BOOST_TEST(!exchange(upstream.address(), "r1").body);
    BOOST_TEST(!exchange(upstream.address(), "r2").body);
    auto question = call(upstream.address(), "r3");
    auto request = static_cast<const HttpForward::RequestMessage&>(*question.request).request();
    request.method(boost::beast::http::verb::head);
    question.request = std::make_shared<HttpForward::RequestMessage>(request);
    std::promise<Ports::ExchangeResult> promise;
    exchanges.start(std::move(question), [&promise](Ports::ExchangeResult result) { promise.set_value(result); });
    const auto result = promise.get_future().get();
    BOOST_TEST((result.outcome == ExchangeOutcome::Answered));
    BOOST_TEST(!result.body);
    BOOST_TEST(upstream.connections() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsBrokenOff)

BOOST_AUTO_TEST_CASE(BeforeItIsLargeAndIsLostLikeASmallOne)
{
    ScriptedUpstream upstream({ "CLOSE " + answer("ID", body).substr(0, 5000) });
    BOOST_TEST((exchange(upstream.address(), "r1").outcome == ExchangeOutcome::Lost));
}

BOOST_AUTO_TEST_CASE(InTheMiddleAndFails)
{
    const auto half = body.substr(0, largeBytes / 2);
    const std::vector<std::string> broken {
        "CLOSE " + head + "Content-Length: " + std::to_string(largeBytes) + "\r\n\r\n" + half,
        "CLOSE " + head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(half).substr(0, half.size()),
        "RESET " + head + "\r\n" + half,
    };
    for (const auto& script : broken) {
        ScriptedUpstream upstream({ script });
        const auto kind = failureOf(exchange(upstream.address(), "r1"));
        BOOST_TEST((kind == Core::ErrorKind::Unreachable), script.substr(0, 80));
    }
}

BOOST_AUTO_TEST_CASE(ByBytesThatAreNoChunk)
{
    const auto text = chunked(body).substr(0, largeBytes / 2);
    ScriptedUpstream upstream({ head + "Transfer-Encoding: chunked\r\n\r\n" + text.substr(0, text.rfind("\r\n") + 2)
        + std::string(100'000, 'z') });
    BOOST_TEST((failureOf(exchange(upstream.address(), "r1")) == Core::ErrorKind::InvalidMessage));
}

BOOST_AUTO_TEST_CASE(ByTheDeadline)
{
    ScriptedUpstream upstream({ "ENDLESS " + head + "Content-Length: " + std::to_string(largeBytes) + "\r\n\r\n"
        + std::string(200'000, 'x') + "|" });
    BOOST_TEST((failureOf(exchange(upstream.address(), "r1")) == Core::ErrorKind::Timeout));
    BOOST_TEST(closesWithin(upstream, Core::Millis(1000)));
}

BOOST_AUTO_TEST_CASE(ByItsReaderWhoLeaves)
{
    ScriptedUpstream upstream({ "ENDLESS " + head + "\r\n|more and more" });
    const auto result = exchange(upstream.address(), "r1");
    BOOST_REQUIRE(result.body);
    BOOST_TEST(readPart(*result.body).has_value());
    result.body->cancel();
    BOOST_TEST(closesWithin(upstream, Core::Millis(1000)));
    BOOST_TEST(!readPart(*result.body).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseReaderIsSlow)

BOOST_AUTO_TEST_CASE(SlowsItsUpstreamDown)
{
    ScriptedUpstream upstream({ "ENDLESS " + head + "\r\n|more and more" });
    const auto result = exchange(upstream.address(), "r1");
    BOOST_REQUIRE(result.body);
    std::size_t before = 1;
    while (upstream.endlessBytes() != before) {
        before = upstream.endlessBytes();
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    BOOST_TEST(before < unreadLimit);
    for (std::size_t taken = 0; taken < unreadLimit; taken += readPart(*result.body)->size()) { }
    BOOST_TEST(upstream.endlessBytes() > before);
    result.body->cancel();
    BOOST_TEST(closesWithin(upstream, Core::Millis(1000)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatHasEnded)

BOOST_AUTO_TEST_CASE(DoesNotAffectTheNextExchangeWhenItIsCancelled)
{
    ScriptedUpstream upstream({ answer("ID", body), "SLOW " + answer("ID", body) });
    const auto first = exchange(upstream.address(), "r1");
    BOOST_TEST(isWhole(first));
    std::promise<Ports::ExchangeResult> second;
    exchanges.start(
        call(upstream.address(), "r2"), [&second](Ports::ExchangeResult result) { second.set_value(result); });
    first.body->cancel();
    BOOST_TEST(isWhole(second.get_future().get()));
    BOOST_TEST(upstream.connections() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
