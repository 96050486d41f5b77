#include "exchangefixture.h"
#include "streamreading.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace HttpForwardTest;
using Ports::ExchangeOutcome;

namespace {

constexpr std::size_t maximumAnswer = 1024UL * 1024;
/// What an endless answer may write: the limit of an answer and what the buffers of both sockets hold.
constexpr std::size_t socketBuffers = 8UL * 1024 * 1024;
constexpr std::size_t endlessLimit = maximumAnswer + socketBuffers;

auto smallLimits() -> HttpClient::Limits
{
    HttpClient::Limits limits;
    limits.maximumBody = Core::Bytes(maximumAnswer);
    return limits;
}

struct LimitedClient : ExchangeClientFixture {
    LimitedClient()
        : ExchangeClientFixture(smallLimits())
    {
    }
};

/// Exchanges whose large answers do not end by themselves.
struct LargeAnswers : LimitedClient {
    LargeAnswers()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n";
        const std::string large(maximumAnswer - 1024, 'x');
        for (int number = 0; number < 8; ++number) {
            upstreams.push_back(
                std::make_unique<ScriptedUpstream>(std::vector<std::string> { "ENDLESS " + head + large + "|" }));
            const auto promise = std::make_shared<std::promise<Ports::ExchangeResult>>();
            results.push_back(promise->get_future());
            exchanges.start(call(upstreams.back()->address(), "r" + std::to_string(number)),
                [promise](Ports::ExchangeResult result) { promise->set_value(std::move(result)); });
        }
    }

    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
    std::vector<std::future<Ports::ExchangeResult>> results;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnExchangeWithAnUpstreamThatSendsWithoutEnd, LimitedClient)

/// The upstream of each case writes until the connection is closed.
BOOST_AUTO_TEST_CASE(EndsAsInvalidAndClosesTheConnection)
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n";
    const std::vector<std::string> endlessAnswers {
        "HTTP/1.1 200 OK\r\n|X-More: more and more\r\n",
        "HTTP/1.1 200 OK\r\nX-Long: |more and more",
        "|no answer at all",
        head + "Transfer-Encoding: chunked\r\n\r\n4;|extension",
        head + "Transfer-Encoding: chunked\r\n\r\n0\r\n|X-More: more and more\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: |more and more",
        "|HTTP/1.1 100 Continue\r\n\r\n",
        "|HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: 4\r\n\r\nmore",
    };
    for (const auto& endless : endlessAnswers) {
        ScriptedUpstream upstream({ "ENDLESS " + endless });
        BOOST_TEST(toString(exchange(upstream.address(), "r1").outcome) == "invalid", endless);
        BOOST_TEST(closesWithin(upstream, Core::Millis(2000)), endless);
        BOOST_TEST(upstream.endlessBytes() < endlessLimit, endless);
    }
}

BOOST_AUTO_TEST_CASE(EndsABodyThatIsReadAtTheDeadline)
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n";
    for (const auto& endless :
        { head + "\r\n|more and more", head + "Transfer-Encoding: chunked\r\n\r\n|4\r\nmore\r\n" }) {
        ScriptedUpstream upstream({ "ENDLESS " + endless });
        const auto result = exchange(upstream.address(), "r1");
        BOOST_REQUIRE(result.body);
        auto part = readPart(*result.body);
        for (; part; part = readPart(*result.body))
            BOOST_REQUIRE(part->size() < maximumAnswer);
        BOOST_TEST((part.error().kind == Core::ErrorKind::Timeout));
        BOOST_TEST(closesWithin(upstream, Core::Millis(2000)), endless);
    }
}

BOOST_AUTO_TEST_CASE(EndsABodyThatTurnsInvalid)
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto large = head + "20000\r\n" + std::string(0x20000, 'x') + "\r\n";
    for (const auto& endless : { large + "4;|extension", large + "0\r\n|X-More: more and more\r\n" }) {
        ScriptedUpstream upstream({ "ENDLESS " + endless });
        const auto result = exchange(upstream.address(), "r1");
        BOOST_REQUIRE(result.body);
        const auto whole = readAll(*result.body);
        BOOST_REQUIRE(!whole);
        BOOST_TEST((whole.error().kind == Core::ErrorKind::InvalidMessage));
        BOOST_TEST(closesWithin(upstream, Core::Millis(2000)), endless.substr(endless.size() - 30));
        BOOST_TEST(upstream.endlessBytes() < endlessLimit);
    }
}

BOOST_AUTO_TEST_CASE(EndsAHealthCheckAsWell)
{
    for (const std::string endless : { "HTTP/1.1 200 OK\r\n\r\n|more and more", "|HTTP/1.1 100 Continue\r\n\r\n" }) {
        ScriptedUpstream upstream({ "ENDLESS " + endless });
        const auto promise = std::make_shared<std::promise<Core::Result<Ports::HealthReport>>>();
        exchanges.probeHealth(call(upstream.address(), "r1").target, "/health",
            [promise](const Core::Result<Ports::HealthReport>& report) { promise->set_value(report); });
        BOOST_TEST(!promise->get_future().get().has_value());
        BOOST_TEST(closesWithin(upstream, Core::Millis(2000)), endless);
        BOOST_TEST(upstream.endlessBytes() < endlessLimit, endless);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(UpstreamsThatSendLargeAnswersWithoutAnEnd, LargeAnswers)

/// A shortage of this VM once failed the answers that met it, which counted against their upstreams.
BOOST_AUTO_TEST_CASE(HaveNoneOfTheirAnswersRefused)
{
    for (auto& result : results) {
        const auto answer = result.get();
        BOOST_TEST(toString(answer.outcome) == "answered");
        BOOST_REQUIRE(answer.body);
        BOOST_TEST(readPart(*answer.body).has_value());
        answer.body->cancel();
    }
    for (const auto& upstream : upstreams)
        BOOST_TEST(closesWithin(*upstream, Core::Millis(2000)));
}

/// Operators' report: while faulty upstreams filled the memory for answers, the requests of other callers failed.
BOOST_AUTO_TEST_CASE(LeaveOtherUpstreamsRoomForSmallAnswers)
{
    std::vector<Ports::ExchangeResult> unread;
    for (auto& result : results)
        unread.push_back(result.get());
    for (int number = 0; number < 20; ++number) {
        ScriptedUpstream upstream({ answer("ID", std::string(16UL * 1024, 'x')) });
        const auto outcome = exchange(upstream.address(), "small" + std::to_string(number)).outcome;
        BOOST_TEST((outcome == ExchangeOutcome::Answered));
    }
}

BOOST_AUTO_TEST_SUITE_END()
