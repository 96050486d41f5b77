#include "latereader.h"

#include <boost/test/unit_test.hpp>

using namespace HttpForwardTest;
using Ports::ExchangeOutcome;

BOOST_FIXTURE_TEST_SUITE(AnExchange, ExchangeClientFixture)

BOOST_AUTO_TEST_SUITE(ForwardsTheRequest)

BOOST_AUTO_TEST_CASE(UnchangedExceptForConnectionHeaders)
{
    ScriptedUpstream upstream({ answer("ID", "pegs") });
    const auto result = exchange(upstream.address(), "r1");
    BOOST_TEST((result.outcome == ExchangeOutcome::Answered));
    const auto head = upstream.requestHeads().front();
    BOOST_TEST(head.starts_with("GET /stock/7?page=2 HTTP/1.1\r\n"));
    BOOST_TEST(head.find("X-Kept: yes") != std::string::npos);
    BOOST_TEST(head.find("X-Private") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(WithForgedSystemHeadersReplaced)
{
    ScriptedUpstream upstream({ answer("ID", "pegs") });
    exchange(upstream.address(), "r1");
    const auto head = upstream.requestHeads().front();
    BOOST_TEST(head.find("Expected: u1") != std::string::npos);
    BOOST_TEST(head.find("forged") == std::string::npos);
    BOOST_TEST(head.find("Time-Left: 2000") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AcceptsOnlyItsOwnAnswer)

BOOST_AUTO_TEST_CASE(WhenAnAnswerToAnotherRequestComesFirst)
{
    ScriptedUpstream upstream(
        { answer("ID", "one"), answer("other", "crossed") + answer("ID", "own"), answer("ID", "three") });
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r1")) == "one");
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r2")) == "own");
    // A connection that carried an answer to another request is not reused.
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r3")) == "three");
    BOOST_TEST(upstream.connections() == 2);
}

BOOST_AUTO_TEST_CASE(AndDoesNotReuseAConnectionWithUnreadBytes)
{
    ScriptedUpstream upstream({ answer("ID", "one") + "stray bytes", answer("ID", "two") });
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r1")) == "one");
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r2")) == "two");
    BOOST_TEST(upstream.connections() == 2);
}

BOOST_AUTO_TEST_CASE(AndNeverAnAnswerWithoutARequestId)
{
    ScriptedUpstream upstream({ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" });
    BOOST_TEST((exchange(upstream.address(), "r1").outcome == ExchangeOutcome::Invalid));
}

/// Another operator's report: an upstream repeated an earlier refusal, which made a request that ran "not run".
BOOST_AUTO_TEST_CASE(AndBelievesNoRefusalWithoutItsRequestId)
{
    for (const std::string head : { "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n", "HTTP/1.1 421 Misdirected\r\n" }) {
        const auto refusal = head + "Content-Length: 0\r\n\r\n";
        ScriptedUpstream upstream({ answer("ID", "one"), refusal + answer("ID", "two"), answer("ID", "three") });
        BOOST_TEST(bodyOf(exchange(upstream.address(), "r1")) == "one");
        BOOST_TEST((exchange(upstream.address(), "r2").outcome == ExchangeOutcome::Invalid));
        BOOST_TEST(bodyOf(exchange(upstream.address(), "r3")) == "three");
        BOOST_TEST(upstream.connections() == 2);
    }
}

BOOST_AUTO_TEST_CASE(AndSkipsTheRepeatedRefusalOfAnEarlierRequest)
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    ScriptedUpstream upstream({ refusal, refusal + answer("ID", "two") });
    BOOST_TEST((exchange(upstream.address(), "r1").outcome == ExchangeOutcome::NotRun));
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r2")) == "two");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AcceptsOnlyACompleteAnswer)

BOOST_AUTO_TEST_CASE(SoATruncatedAnswerIsLost)
{
    ScriptedUpstream upstream(
        { "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 10\r\nConnection: close\r\n\r\nhalf" });
    BOOST_TEST((exchange(upstream.address(), "r1").outcome == ExchangeOutcome::Lost));
}

/// Another operator's report: an upstream closed in the middle of its head, and callers got a whole but empty answer.
BOOST_AUTO_TEST_CASE(SoAnAnswerThatBreaksOffAnywhereIsLost)
{
    const std::vector<std::string> wholeAnswers {
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\npegs",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npegs\r\n0\r\n\r\n",
    };
    for (const auto& whole : wholeAnswers) {
        for (std::size_t size = 1; size < whole.size(); ++size) {
            ScriptedUpstream upstream({ "CLOSE " + whole.substr(0, size) });
            const auto outcome = exchange(upstream.address(), "r1").outcome;
            BOOST_TEST((outcome == ExchangeOutcome::Lost), toString(outcome) << " after " << size << " bytes");
        }
    }
}

BOOST_AUTO_TEST_CASE(SoAnAnswerWithoutLengthIsLostIfItsConnectionIsReset)
{
    ScriptedUpstream upstream({ "RESET HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\nhalf" });
    BOOST_TEST(toString(exchange(upstream.address(), "r1").outcome) == "lost");
}

BOOST_AUTO_TEST_CASE(SoAMalformedAnswerIsInvalid)
{
    ScriptedUpstream upstream({ "\x01\x02 garbage\r\n\r\nConnection: close" });
    BOOST_TEST((exchange(upstream.address(), "r1").outcome == ExchangeOutcome::Invalid));
}

BOOST_AUTO_TEST_CASE(AndAnAnswerWithoutLengthEndsWithItsConnection)
{
    ScriptedUpstream upstream({ "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nConnection: close\r\n\r\nall of it" });
    const auto result = exchange(upstream.address(), "r1");
    BOOST_TEST((result.outcome == ExchangeOutcome::Answered));
    BOOST_TEST(bodyOf(result) == "all of it");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReportsThatTheRequestDidNotRun)

BOOST_AUTO_TEST_CASE(WhenTheUpstreamSaysSo)
{
    ScriptedUpstream upstream({ "HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 Misdirected\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n" });
    BOOST_TEST(toString(exchange(upstream.address(), "r1").outcome) == "not-run");
    BOOST_TEST(toString(exchange(upstream.address(), "r2").outcome) == "misdirected");
    BOOST_TEST(toString(exchange(upstream.address(), "r3").outcome) == "answered");
}

BOOST_AUTO_TEST_CASE(WhenNothingListens)
{
    BOOST_TEST((exchange(Core::Address("127.0.0.1:1"), "r1").outcome == ExchangeOutcome::NotSent));
}

BOOST_AUTO_TEST_CASE(ButNotWhenTheConnectionEndsAfterTheRequest)
{
    ScriptedUpstream upstream({ "" });
    BOOST_TEST((exchange(upstream.address(), "r1").outcome == ExchangeOutcome::Lost));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReportsWhatTheUpstreamSaysOfItself)

BOOST_AUTO_TEST_CASE(ThatItHasLoad)
{
    struct Case {
        std::string header;
        bool isReadable = false;
        std::optional<std::uint32_t> workTime;
    };
    const std::vector<Case> cases { { "3,2,4", true, {} }, { "3,2,4,150", true, 150 }, { "3,2,4,150,7,8", true, 150 },
        { "3,2,4,", true, {} }, { "3,2,4,slow", true, {} }, { "3,2,4,0", true, {} }, { "3,2,4,4294967295", true, {} },
        { "3,2,4,99999999999", true, {} }, { "3,2", false, {} }, { "", false, {} }, { "3,,4", false, {} },
        { "3,2,-4", false, {} }, { ",,,,,,,,", false, {} } };
    for (const auto& [header, isReadable, workTime] : cases) {
        ScriptedUpstream upstream(
            { "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nLoad: " + header + "\r\nContent-Length: 0\r\n\r\n" });
        const auto load = exchange(upstream.address(), "r1").load;
        BOOST_REQUIRE_MESSAGE(load.has_value() == isReadable, header);
        if (!load)
            continue;
        BOOST_TEST(load->running == 3U, header);
        BOOST_TEST(load->waiting == 2U, header);
        BOOST_TEST(load->slots.value() == 4U, header);
        BOOST_REQUIRE_MESSAGE(load->workTime.has_value() == workTime.has_value(), header);
        if (workTime)
            BOOST_TEST(load->workTime->value() == *workTime, header);
    }
}

BOOST_AUTO_TEST_CASE(ThatItIsLeaving)
{
    ScriptedUpstream upstream({ "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
        answer("ID", "pegs") });
    BOOST_TEST(exchange(upstream.address(), "r1").signals.isLeaving);
    BOOST_TEST(exchange(upstream.address(), "r2").signals.isLeaving);
    BOOST_TEST(!exchange(upstream.address(), "r3").signals.isLeaving);
}

BOOST_AUTO_TEST_CASE(ThatItWantsAPause)
{
    const std::vector<std::pair<std::string, Core::Millis>> cases { { "2", Core::Millis(2000) },
        { "0.25", Core::Millis(250) }, { "", Core::Millis(0) }, { "-1", Core::Millis(0) }, { "nan", Core::Millis(0) },
        { "Wed, 21 Oct 2026 07:28:00 GMT", Core::Millis(0) }, { "1e300", Core::Millis(120'000) } };
    for (const auto& [value, expected] : cases) {
        ScriptedUpstream upstream({ "HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nNot-Run: 1\r\nRetry-After: " + value
            + "\r\nContent-Length: 0\r\n\r\n" });
        const auto pause = exchange(upstream.address(), "r1").signals.pause;
        BOOST_TEST((pause == expected), "Retry-After: " << value);
    }
}

BOOST_AUTO_TEST_CASE(ButNoPauseWithAnAnswerOtherThan503)
{
    ScriptedUpstream upstream({ "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n" });
    BOOST_TEST((exchange(upstream.address(), "r1").signals.pause == Core::Millis(0)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithARestartedUpstream)

BOOST_AUTO_TEST_CASE(DoesNotReuseAConnectionToThePreviousProcess)
{
    ScriptedUpstream upstream({ answer("ID", "one"), answer("ID", "two") });
    exchange(upstream.address(), "r1", 1);
    // ScriptedUpstream serves one connection at a time and the old one stays open, so the request on the new connection
    // is not read and times out.
    const auto promise = std::make_shared<std::promise<Ports::ExchangeResult>>();
    exchanges.start(call(upstream.address(), "r2", 2),
        [promise](Ports::ExchangeResult result) { promise->set_value(std::move(result)); });
    const auto result = promise->get_future().get();
    BOOST_TEST((result.outcome == ExchangeOutcome::TimedOut));
    BOOST_TEST(upstream.requestHeads().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AfterTheUpstreamClosedAnIdleConnection)

BOOST_AUTO_TEST_CASE(ReportsThatTheConnectionEnded)
{
    ScriptedUpstream upstream({ answer("ID", "one"), answer("ID", "two") });
    exchange(upstream.address(), "r1");
    upstream.shutDownConnection();
    int ended = 0;
    auto second = call(upstream.address(), "r2");
    second.onConnectionClosed = [&ended] { ++ended; };
    const auto promise = std::make_shared<std::promise<Ports::ExchangeResult>>();
    exchanges.start(
        std::move(second), [promise](Ports::ExchangeResult result) { promise->set_value(std::move(result)); });
    BOOST_TEST((promise->get_future().get().outcome == ExchangeOutcome::Answered));
    BOOST_TEST(ended == 1);
}

BOOST_AUTO_TEST_CASE(ReportsNothingForTheFirstConnection)
{
    ScriptedUpstream upstream({ answer("ID", "one") });
    int ended = 0;
    auto first = call(upstream.address(), "r1");
    first.onConnectionClosed = [&ended] { ++ended; };
    const auto promise = std::make_shared<std::promise<Ports::ExchangeResult>>();
    exchanges.start(
        std::move(first), [promise](Ports::ExchangeResult result) { promise->set_value(std::move(result)); });
    promise->get_future().wait();
    BOOST_TEST(ended == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatIsNoLongerWantedWhenItCanBeWritten)

/// Incident DRAIN, GONE: nothing was looked at again between the choice of an upstream and the first byte.
BOOST_AUTO_TEST_CASE(WritesNothingAndKeepsTheConnection)
{
    ScriptedUpstream upstream({ answer("ID", "one") });
    auto withdrawn = call(upstream.address(), "r1");
    withdrawn.isStillWanted = [] { return false; };
    const auto promise = std::make_shared<std::promise<Ports::ExchangeResult>>();
    exchanges.start(
        std::move(withdrawn), [promise](Ports::ExchangeResult result) { promise->set_value(std::move(result)); });
    BOOST_TEST(toString(promise->get_future().get().outcome) == "withdrawn");
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r2")) == "one");
    BOOST_TEST(upstream.requestHeads().size() == 1U);
    BOOST_TEST(upstream.connections() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatEndsBeforeItsRequestIsDelivered, LateReader)

/// Incident DRAIN, GONE: bytes that waited in the send buffer were delivered after the caller had left.
BOOST_AUTO_TEST_CASE(DeliversNoMoreOfItAfterACancellation)
{
    const auto pending = startLargeRequest(Core::Millis(5000));
    waitUntilBlocked();
    pending->cancel();
    BOOST_TEST((result.get_future().get().outcome == ExchangeOutcome::Cancelled));
    BOOST_TEST(readToEnd() == boost::asio::error::connection_reset);
}

BOOST_AUTO_TEST_CASE(TellsHowMuchTheUpstreamHadNotAcknowledged)
{
    const auto pending = startLargeRequest(Core::Millis(5000));
    waitUntilBlocked();
    pending->cancel();
    BOOST_TEST(result.get_future().get().unacknowledged.value() > 0U);
}

BOOST_AUTO_TEST_CASE(DeliversNoMoreOfItAfterTheTimeout)
{
    startLargeRequest(Core::Millis(300));
    BOOST_TEST((result.get_future().get().outcome == ExchangeOutcome::TimedOut));
    BOOST_TEST(readToEnd() == boost::asio::error::connection_reset);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatIsCancelled)

BOOST_AUTO_TEST_CASE(AfterItsEndDoesNotAffectTheNextOnItsConnection)
{
    ScriptedUpstream upstream({ answer("ID", "one"), "SLOW " + answer("ID", "two") });
    const auto first = std::make_shared<std::promise<Ports::ExchangeResult>>();
    const auto ended = exchanges.start(
        call(upstream.address(), "r1"), [first](Ports::ExchangeResult result) { first->set_value(std::move(result)); });
    first->get_future().wait();
    const auto second = std::make_shared<std::promise<Ports::ExchangeResult>>();
    exchanges.start(call(upstream.address(), "r2"),
        [second](Ports::ExchangeResult result) { second->set_value(std::move(result)); });
    ended->cancel();
    BOOST_TEST((second->get_future().get().outcome == ExchangeOutcome::Answered));
    BOOST_TEST(upstream.connections() == 1);
}

BOOST_AUTO_TEST_CASE(ClosesTheConnectionToTheUpstream)
{
    ScriptedUpstream upstream({ "SILENCE" });
    const auto promise = std::make_shared<std::promise<Ports::ExchangeResult>>();
    const auto pending = exchanges.start(call(upstream.address(), "r1"),
        [promise](Ports::ExchangeResult result) { promise->set_value(std::move(result)); });
    while (upstream.requestHeads().empty())
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    pending->cancel();
    BOOST_TEST((promise->get_future().get().outcome == ExchangeOutcome::Cancelled));
    for (int wait = 0; wait < 400 && !upstream.hasPeerClosed(); ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    BOOST_TEST(upstream.hasPeerClosed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
