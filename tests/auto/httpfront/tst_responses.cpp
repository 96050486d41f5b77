#include "frontendfixture.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <stdexcept>

namespace {

const std::string scripted = "GET /v1/services/s/scripted HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

auto answerWith(Core::Answer answer) -> ScriptedHandler::Behaviour
{
    return [answer = std::move(answer)](
               const Core::ServiceRequest&, const Core::ReplyCallback& callback) { callback(answer); };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(AHandlerFails, FrontEndFixture)

BOOST_AUTO_TEST_CASE(ThenAnExceptionBecomesATypedError)
{
    handler().behaviour
        = [](const Core::ServiceRequest&, const Core::ReplyCallback&) { throw std::runtime_error("broken"); };
    const auto reply = exchange(scripted);
    BOOST_TEST(reply.starts_with("HTTP/1.1 500 "), reply);
    BOOST_TEST(reply.find("\"outcome\":\"unknown\"") != std::string::npos, reply);
    BOOST_TEST(servesGoodRequest());
}

BOOST_AUTO_TEST_CASE(ThenADroppedCallbackBecomesATypedError)
{
    handler().behaviour = [](const Core::ServiceRequest&, const Core::ReplyCallback&) {};
    const auto reply = exchange(scripted);
    BOOST_TEST(reply.starts_with("HTTP/1.1 500 "), reply);
}

BOOST_AUTO_TEST_CASE(ThenASecondReplyIsIgnored)
{
    handler().behaviour = [](const Core::ServiceRequest&, const Core::ReplyCallback& callback) {
        callback(Core::Answer { {}, {}, 200, "text/plain", "first" });
        callback(Core::Answer { {}, {}, 200, "text/plain", "second" });
    };
    const auto reply = exchange(scripted);
    BOOST_TEST(reply.ends_with("\r\n\r\nfirst"), reply);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AnUpstreamAnswersUnusually, FrontEndFixture)

BOOST_AUTO_TEST_CASE(ThenAStatusOutsideHttpIsRefused)
{
    for (const int status : { 0, -1, 99, 101, 600, 1000 }) {
        handler().behaviour = answerWith({ {}, {}, status, "text/plain", "body" });
        const auto reply = exchange(scripted);
        BOOST_TEST(reply.starts_with("HTTP/1.1 502 "), reply);
        BOOST_TEST(reply.find("upstream-answer-invalid") != std::string::npos, reply);
    }
}

BOOST_AUTO_TEST_CASE(ThenAStatusWithoutBodyIsSentWithoutOne)
{
    handler().behaviour = answerWith({ {}, {}, 204, "", "unexpected" });
    const auto reply = exchange(scripted);
    BOOST_TEST(reply.starts_with("HTTP/1.1 204 "), reply);
    BOOST_TEST(reply.ends_with("\r\n\r\n"), reply);
    BOOST_TEST(reply.find("Content-Type") == std::string::npos, reply);
}

BOOST_AUTO_TEST_CASE(ThenNoHeaderCanBeInjected)
{
    handler().behaviour = answerWith({ Core::RequestId("r\r\nX-Evil: 1"), Core::UpstreamId("u\r\nX-Evil: 2"), 200,
        "text/plain\r\nX-Evil: 3", "body" });
    const auto reply = exchange(scripted);
    BOOST_TEST(reply.starts_with("HTTP/1.1 200 "), reply);
    BOOST_TEST(reply.find("\r\nX-Evil") == std::string::npos, reply);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ACallerUsesLessCommonHttp, FrontEndFixture)

BOOST_AUTO_TEST_CASE(ThenHeadIsAnsweredWithoutABody)
{
    const auto reply = exchange("HEAD /v1/services/s/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    BOOST_TEST(reply.starts_with("HTTP/1.1 200 "), reply);
    BOOST_TEST(reply.find("Content-Length: 8\r\n") != std::string::npos, reply);
    BOOST_TEST(reply.ends_with("\r\n\r\n"), reply);
}

BOOST_AUTO_TEST_CASE(ThenExpectContinueIsAnsweredBeforeTheBody)
{
    auto connection = connect();
    connection.send("POST /v1/services/s/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nExpect: 100-continue\r\n"
                    "Content-Length: 4\r\n\r\n");
    BOOST_TEST(connection.readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    connection.send("body");
    BOOST_TEST(connection.readToEnd().ends_with("echo /x body"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(TheServerShutsDown, FrontEndFixture)

BOOST_AUTO_TEST_CASE(ThenAPartlyReceivedRequestIsStillAnswered)
{
    auto idle = connect();
    auto connection = connect();
    connection.send("POST /v1/services/s/x HTTP/1.1\r\nHost: x\r\nContent-");
    BOOST_REQUIRE(servesGoodRequest());
    std::promise<void> done;
    server().shutDown([&done] { done.set_value(); });
    BOOST_TEST(idle.readToEnd().empty());
    connection.send("Length: 4\r\n\r\nlast");
    BOOST_TEST(connection.readToEnd().ends_with("echo /x last"));
    done.get_future().wait();
}

BOOST_AUTO_TEST_SUITE_END()
