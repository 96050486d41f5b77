#include "frontfixture.h"
#include "largebodies.h"
#include "latereader.h"
#include "streamreading.h"

#include <boost/test/unit_test.hpp>

using namespace HttpForwardTest;

namespace {

const std::string headWithoutLength = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n";
constexpr std::size_t largeBytes = 512UL * 1024;
/// How often a case is played whose course depends on when the events meet.
constexpr int rounds = 20;

/// Lets the reader take what was sent before the connection ends.
auto letItArrive() -> void { std::this_thread::sleep_for(std::chrono::milliseconds(20)); }

/// Exchange with an upstream that answers while the request is still being written.
struct EarlyAnswer : LateReader {
    auto startRequest() -> std::future<Ports::ExchangeResult>
    {
        startLargeRequest(Core::Millis(5000));
        awaitRequest();
        return result.get_future();
    }

    const std::string largeBody = numberedBody(largeBytes);
};

/// Front that takes a large upload.
struct LargeUploads : ForwardFrontFixture {
    LargeUploads()
        : ForwardFrontFixture(limits())
    {
    }

    static auto limits() -> HttpServer::Limits
    {
        HttpServer::Limits limits;
        limits.maximumBody = Core::Bytes(2 * LateUpstream::largeRequest);
        limits.maximumBodyTotal = Core::Bytes(4 * LateUpstream::largeRequest);
        return limits;
    }

    static auto upload() -> std::string
    {
        return "POST /stock/7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\nTime-Left: 5000\r\nContent-Length: "
            + std::to_string(LateUpstream::largeRequest) + "\r\n\r\n" + std::string(LateUpstream::largeRequest, 'x');
    }

    LateUpstream upstream;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnAnswerWithoutLengthDuringTheUpload, EarlyAnswer)

BOOST_AUTO_TEST_SUITE(IsLostIfItsConnectionIsReset)

/// Issue 41: the caller got the part that had arrived as a whole answer.
BOOST_AUTO_TEST_CASE(AfterAPartOfIt)
{
    for (int round = 0; round < rounds; ++round) {
        auto ended = startRequest();
        answerWith(headWithoutLength + "half");
        letItArrive();
        resetConnection();
        BOOST_TEST(toString(ended.get().outcome) == "lost");
    }
}

BOOST_AUTO_TEST_CASE(RightBehindAPartOfIt)
{
    for (int round = 0; round < rounds; ++round) {
        auto ended = startRequest();
        answerWith(headWithoutLength + "half");
        resetConnection();
        BOOST_TEST(toString(ended.get().outcome) == "lost");
    }
}

BOOST_AUTO_TEST_CASE(WhileItIsStreamed)
{
    for (int round = 0; round < rounds; ++round) {
        auto ended = startRequest();
        answerWith(headWithoutLength + largeBody);
        letItArrive();
        const auto answered = ended.get();
        BOOST_REQUIRE(answered.body);
        resetConnection();
        const auto whole = readAll(*answered.body);
        BOOST_REQUIRE(!whole);
        BOOST_TEST((whole.error().kind == Core::ErrorKind::Unreachable));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(IsABadGatewayForTheCaller, LargeUploads)

BOOST_AUTO_TEST_CASE(IfItsConnectionIsReset)
{
    auto route = stockRoute();
    route.isIdempotent = false;
    route.timeout = Core::Millis(5000);
    serve(upstream.address(), route);
    StandIns::RawConnection caller(server.port());
    caller.send(upload());
    upstream.accept();
    upstream.awaitRequest();
    upstream.answerWith(headWithoutLength + "half");
    letItArrive();
    upstream.resetConnection();
    const auto reply = caller.readUntil("\r\n\r\n");
    BOOST_TEST(reply.starts_with("HTTP/1.1 502 "), reply);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsWholeIfItsConnectionEndsInOrder)

BOOST_AUTO_TEST_CASE(BehindIt)
{
    for (int round = 0; round < rounds; ++round) {
        auto ended = startRequest();
        answerWith(headWithoutLength + "all of it");
        endStream();
        const auto answered = ended.get();
        BOOST_REQUIRE(toString(answered.outcome) == "answered");
        BOOST_TEST(bodyOf(answered) == "all of it");
        socket.close();
    }
}

/// The upstream gives up the upload once it has answered.
BOOST_AUTO_TEST_CASE(AndIsResetAfterwards)
{
    for (int round = 0; round < rounds; ++round) {
        auto ended = startRequest();
        answerWith(headWithoutLength + "all of it");
        endStream();
        resetConnection();
        const auto answered = ended.get();
        BOOST_REQUIRE(toString(answered.outcome) == "answered");
        BOOST_TEST(bodyOf(answered) == "all of it");
    }
}

BOOST_AUTO_TEST_CASE(WhileItIsStreamed)
{
    auto ended = startRequest();
    answerWith(headWithoutLength + largeBody);
    const auto answered = ended.get();
    BOOST_REQUIRE(answered.body);
    endStream();
    const auto whole = readAll(*answered.body);
    BOOST_REQUIRE(whole);
    BOOST_TEST((*whole == largeBody));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
