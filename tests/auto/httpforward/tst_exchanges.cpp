#include "httpforward/httpexchangeclient.h"
#include "httpforward/httpmessage.h"
#include "runtime/asioruntime.h"
#include "scriptedupstreams.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace HttpForwardTest;
using Ports::ExchangeOutcome;

namespace {

auto names() -> HttpForward::HeaderNames
{
    return { "Request-Id", "Time-Left", "Object", "Expected", "Upstream", "Load", "Not-Run", "Cold-Left" };
}

auto answer(const std::string& id, const std::string& body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

struct AnEntryVm {
    AnEntryVm()
        : thread([this] { runtime.run(); })
    {
    }
    ~AnEntryVm()
    {
        runtime.stop();
        thread.join();
    }
    AnEntryVm(const AnEntryVm&) = delete;
    auto operator=(const AnEntryVm&) -> AnEntryVm& = delete;

    static auto call(const Core::Address& address, const std::string& id, std::int64_t start = 1) -> Ports::ExchangeCall
    {
        HttpServer::HttpRequest request { boost::beast::http::verb::get, "/stock/7?page=2", 11 };
        request.set("Host", "desk.example");
        request.set("Request-Id", id);
        request.set("Expected", "forged");
        request.set("Connection", "X-Private, keep-alive");
        request.set("X-Private", "for one hop");
        request.set("X-Kept", "yes");
        return { { Core::UpstreamId("u1"), Core::StartMark(start), address }, Core::RequestId(id),
            std::make_shared<HttpForward::RequestMessage>(request), Core::Millis(2000) };
    }

    auto exchange(const Core::Address& address, const std::string& id, std::int64_t start = 1) -> Ports::ExchangeResult
    {
        const auto promise = std::make_shared<std::promise<Ports::ExchangeResult>>();
        exchanges.start(call(address, id, start),
            [promise](Ports::ExchangeResult result) { promise->set_value(std::move(result)); });
        return promise->get_future().get();
    }

    static auto bodyOf(const Ports::ExchangeResult& result) -> std::string
    {
        return static_cast<const HttpForward::AnswerMessage&>(*result.answer).response().body();
    }

    Runtime::AsioRuntime runtime { 2 };
    HttpClient::Client client { runtime.context() };
    HttpForward::HttpExchangeClient exchanges { client, names() };
    std::thread thread;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnExchange, AnEntryVm)

BOOST_AUTO_TEST_SUITE(PassesTheRequestOn)

BOOST_AUTO_TEST_CASE(AsItCameButForWhatConcernsOneConnection)
{
    ScriptedUpstream upstream({ answer("ID", "pegs") });
    const auto result = exchange(upstream.address(), "r1");
    BOOST_TEST((result.outcome == ExchangeOutcome::Answered));
    const auto head = upstream.heads().front();
    BOOST_TEST(head.starts_with("GET /stock/7?page=2 HTTP/1.1\r\n"));
    BOOST_TEST(head.find("X-Kept: yes") != std::string::npos);
    BOOST_TEST(head.find("X-Private") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(WithItsOwnNamesInPlaceOfForgedOnes)
{
    ScriptedUpstream upstream({ answer("ID", "pegs") });
    exchange(upstream.address(), "r1");
    const auto head = upstream.heads().front();
    BOOST_TEST(head.find("Expected: u1") != std::string::npos);
    BOOST_TEST(head.find("forged") == std::string::npos);
    BOOST_TEST(head.find("Time-Left: 2000") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TakesOnlyItsOwnAnswer)

BOOST_AUTO_TEST_CASE(WhenThatOfAnotherRequestComesFirst)
{
    ScriptedUpstream upstream(
        { answer("ID", "one"), answer("other", "crossed") + answer("ID", "own"), answer("ID", "three") });
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r1")) == "one");
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r2")) == "own");
    // The connection that carried a stray answer is not used again.
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r3")) == "three");
    BOOST_TEST(upstream.connections() == 2);
}

BOOST_AUTO_TEST_CASE(AndUsesNoConnectionWithBytesLeftOver)
{
    ScriptedUpstream upstream({ answer("ID", "one") + "stray bytes", answer("ID", "two") });
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r1")) == "one");
    BOOST_TEST(bodyOf(exchange(upstream.address(), "r2")) == "two");
    BOOST_TEST(upstream.connections() == 2);
}

BOOST_AUTO_TEST_CASE(AndNeverOneWithoutAnId)
{
    ScriptedUpstream upstream({ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" });
    BOOST_TEST((exchange(upstream.address(), "r1").outcome == ExchangeOutcome::Invalid));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TakesOnlyAWholeAnswer)

BOOST_AUTO_TEST_CASE(SoOneThatIsCutShortIsLost)
{
    ScriptedUpstream upstream(
        { "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 10\r\nConnection: close\r\n\r\nhalf" });
    BOOST_TEST((exchange(upstream.address(), "r1").outcome == ExchangeOutcome::Lost));
}

BOOST_AUTO_TEST_CASE(SoBytesThatAreNoAnswerAreInvalid)
{
    ScriptedUpstream upstream({ "\x01\x02 garbage\r\n\r\nConnection: close" });
    BOOST_TEST((exchange(upstream.address(), "r1").outcome == ExchangeOutcome::Invalid));
}

BOOST_AUTO_TEST_CASE(AndOneWithoutLengthEndsWithItsConnection)
{
    ScriptedUpstream upstream({ "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nConnection: close\r\n\r\nall of it" });
    const auto result = exchange(upstream.address(), "r1");
    BOOST_TEST((result.outcome == ExchangeOutcome::Answered));
    BOOST_TEST(bodyOf(result) == "all of it");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(KnowsWhatDidNotRun)

BOOST_AUTO_TEST_CASE(ByWhatTheUpstreamSays)
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

BOOST_AUTO_TEST_CASE(ButNotWhenTheConnectionJustEnds)
{
    ScriptedUpstream upstream({ "" });
    BOOST_TEST((exchange(upstream.address(), "r1").outcome == ExchangeOutcome::Lost));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithAnUpstreamThatStartedAgain)

BOOST_AUTO_TEST_CASE(UsesNoConnectionOfTheOneBefore)
{
    ScriptedUpstream upstream({ answer("ID", "one"), answer("ID", "two") });
    exchange(upstream.address(), "r1", 1);
    // The stand-in serves one connection at a time: the old one has to end first.
    const auto promise = std::make_shared<std::promise<Ports::ExchangeResult>>();
    exchanges.start(call(upstream.address(), "r2", 2),
        [promise](Ports::ExchangeResult result) { promise->set_value(std::move(result)); });
    const auto result = promise->get_future().get();
    BOOST_TEST((result.outcome == ExchangeOutcome::TimedOut));
    BOOST_TEST(upstream.heads().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AfterTheUpstreamClosedAKeptConnection)

BOOST_AUTO_TEST_CASE(TellsThatItsProcessMayHaveEnded)
{
    ScriptedUpstream upstream({ answer("ID", "one"), answer("ID", "two") });
    exchange(upstream.address(), "r1");
    upstream.endConnection();
    int ended = 0;
    auto second = call(upstream.address(), "r2");
    second.connectionEnded = [&ended] { ++ended; };
    const auto promise = std::make_shared<std::promise<Ports::ExchangeResult>>();
    exchanges.start(
        std::move(second), [promise](Ports::ExchangeResult result) { promise->set_value(std::move(result)); });
    BOOST_TEST((promise->get_future().get().outcome == ExchangeOutcome::Answered));
    BOOST_TEST(ended == 1);
}

BOOST_AUTO_TEST_CASE(TellsNothingOfTheFirstConnection)
{
    ScriptedUpstream upstream({ answer("ID", "one") });
    int ended = 0;
    auto first = call(upstream.address(), "r1");
    first.connectionEnded = [&ended] { ++ended; };
    const auto promise = std::make_shared<std::promise<Ports::ExchangeResult>>();
    exchanges.start(
        std::move(first), [promise](Ports::ExchangeResult result) { promise->set_value(std::move(result)); });
    promise->get_future().wait();
    BOOST_TEST(ended == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatIsGivenUp)

BOOST_AUTO_TEST_CASE(WhenItHasEndedDoesNotDisturbTheNextOnItsConnection)
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

BOOST_AUTO_TEST_CASE(EndsTheUpstreamsWork)
{
    ScriptedUpstream upstream({ "SILENCE" });
    const auto promise = std::make_shared<std::promise<Ports::ExchangeResult>>();
    const auto open = exchanges.start(call(upstream.address(), "r1"),
        [promise](Ports::ExchangeResult result) { promise->set_value(std::move(result)); });
    while (upstream.heads().empty())
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    open->cancel();
    BOOST_TEST((promise->get_future().get().outcome == ExchangeOutcome::Cancelled));
    for (int wait = 0; wait < 400 && !upstream.wasLeft(); ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    BOOST_TEST(upstream.wasLeft());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
