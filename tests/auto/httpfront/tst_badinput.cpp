#include "frontendfixture.h"

#include <boost/test/unit_test.hpp>

namespace {

auto contains(const std::string& text, const std::string& part) -> bool { return text.find(part) != std::string::npos; }

/// Returns a request to a service with the given header lines, each terminated by "\r\n".
auto request(const std::string& headers, const std::string& body = {}, const std::string& target = "/v1/services/s/x")
    -> std::string
{
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "\r\n" + body;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ACallerSendsAMalformedRequest, FrontEndFixture)

BOOST_AUTO_TEST_CASE(ThenItGetsATypedErrorAndOthersAreServed)
{
    for (const auto& bytes : {
             std::string("this is not HTTP\r\n\r\n"),
             std::string("GET / HTTP/9.9\r\n\r\n"),
             std::string("GET /v1/lookup HTTP/1.1\r\nBroken Header\r\n\r\n"),
             std::string("\x16\x03\x01\x02\x00\x01\r\n\r\n", 10),
             request("Content-Length: -5\r\n"),
             request("Content-Length: 99999999999999999999999\r\n"),
             request("Transfer-Encoding: chunked\r\n", "zz\r\nxx\r\n0\r\n\r\n"),
         }) {
        const auto reply = exchange(bytes);
        BOOST_TEST(reply.starts_with("HTTP/1.1 400 "), reply);
        BOOST_TEST(contains(reply, "\"outcome\":\"not-run\""), reply);
        BOOST_TEST(servesGoodRequest());
    }
}

BOOST_AUTO_TEST_CASE(ThenRequestSmugglingIsRefused)
{
    for (const auto& bytes : {
             request("Content-Length: 4\r\nContent-Length: 5\r\n", "abcde"),
             request("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\nGET /v1/lookup HTTP/1.1\r\n\r\n"),
             request("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "0\r\n\r\nGET /v1/lookup HTTP/1.1\r\n\r\n"),
             request("Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\nGET /v1/lookup HTTP/1.1\r\n\r\n"),
             request("Transfer-Encoding: xchunked\r\n", "0\r\n\r\nGET /v1/lookup HTTP/1.1\r\n\r\n"),
             request("Content-Length : 4\r\n", "abcd"),
             request("Content-Length: +4\r\n", "abcd"),
         }) {
        const auto reply = exchange(bytes);
        BOOST_TEST(reply.starts_with("HTTP/1.1 400 "), bytes + reply);
        BOOST_TEST(reply.rfind("HTTP/1.1 ") == 0U, "a hidden second request was answered: " + reply);
    }
}

BOOST_AUTO_TEST_CASE(ThenOversizedHeadersAndBodiesGetTheirOwnStatus)
{
    const auto header = exchange(request("X-Filler: " + std::string(8192, 'a') + "\r\n"));
    BOOST_TEST(header.starts_with("HTTP/1.1 431 "), header);
    const auto body = exchange(request("Content-Length: 65537\r\n", std::string(65537, 'b')));
    BOOST_TEST(body.starts_with("HTTP/1.1 413 "), body);
    const auto chunk = "10001\r\n" + std::string(65537, 'c') + "\r\n0\r\n\r\n";
    const auto chunked = exchange(request("Transfer-Encoding: chunked\r\n", chunk));
    BOOST_TEST(chunked.starts_with("HTTP/1.1 413 "), chunked);
    BOOST_TEST(servesGoodRequest());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ACallerSendsAValidRequestWithInvalidContent, FrontEndFixture)

BOOST_AUTO_TEST_CASE(ThenDeadlinesOutsideTheRangeAreRefused)
{
    for (const auto* deadline : { "-1", "99999999999999999999", "86400001", "soon", "5 s", "1e3" }) {
        const auto reply = exchange(request("X-Deadline-Ms: " + std::string(deadline) + "\r\nContent-Length: 0\r\n"));
        BOOST_TEST(reply.starts_with("HTTP/1.1 400 "), reply);
        BOOST_TEST(contains(reply, "invalid-request"), reply);
    }
}

BOOST_AUTO_TEST_CASE(ThenMalformedIdempotencyKeysAreRefused)
{
    const auto reply = exchange(request("Idempotency-Key: not-a-key\r\nContent-Length: 0\r\n"));
    BOOST_TEST(reply.starts_with("HTTP/1.1 400 "), reply);
    BOOST_TEST(contains(reply, "key-invalid"), reply);
}

BOOST_AUTO_TEST_CASE(ThenBytesThatAreNotUtf8AreEchoedAsValidJson)
{
    handler().behaviour = [](const Core::ServiceRequest& request, const Core::ReplyCallback& callback) {
        callback(Core::Refusal { Core::RunOutcome::NotRun, Core::RefusalReason::UnknownService,
            "no service named '" + request.service.value() + "'", "name another", {} });
    };
    const auto reply = exchange(request("Content-Length: 0\r\n", "", "/v1/services/\xff\xfe/scripted"));
    BOOST_TEST(reply.starts_with("HTTP/1.1 404 "), reply);
    BOOST_TEST(contains(reply, "\xef\xbf\xbd"), reply);
    BOOST_TEST(servesGoodRequest());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ACallerMisbehavesOnItsConnection)

BOOST_AUTO_TEST_CASE(ThenPipelinedRequestsAreAnsweredInOrder)
{
    FrontEndFixture front;
    std::string bytes;
    for (const auto* body : { "a", "b", "c" })
        bytes += std::string("POST /v1/services/s/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n") + body;
    const auto reply = front.exchange(bytes + request("Content-Length: 1\r\n", "d"));
    const auto first = reply.find("echo /x a");
    const auto second = reply.find("echo /x b", first);
    const auto third = reply.find("echo /x c", second);
    BOOST_TEST(reply.find("echo /x d", third) != std::string::npos, reply);
}

BOOST_AUTO_TEST_CASE(ThenASlowSenderGetsARequestTimeout)
{
    FrontEndFixture front({ Core::Bytes(4096), Core::Bytes(4096), Core::Millis(50), 16 });
    const auto reply = front.exchange("POST /v1/services/s/x HTTP/1.1\r\nHost: x\r\nContent-Le");
    BOOST_TEST(reply.starts_with("HTTP/1.1 408 "), reply);
    const auto body = front.exchange(request("Content-Length: 10\r\n", "half"));
    BOOST_TEST(body.starts_with("HTTP/1.1 408 "), body);
    BOOST_TEST(front.exchange("").empty());
}

BOOST_AUTO_TEST_CASE(ThenConnectionsBeyondTheLimitAreRefused)
{
    FrontEndFixture front;
    std::vector<StandIns::RawConnection> connections;
    for (int index = 0; index < 16; ++index) {
        connections.push_back(front.connect());
        connections.back().send("POST /v1/services/s/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1");
        (void)connections.back().readUntil("echo /x 1");
    }
    const auto reply = front.exchange("");
    BOOST_TEST(reply.starts_with("HTTP/1.1 503 "), reply);
    BOOST_TEST(contains(reply, "\"outcome\":\"not-run\""), reply);
    connections.back().send(request("Content-Length: 1\r\n", "2"));
    BOOST_TEST(contains(connections.back().readToEnd(), "echo /x 2"));
}

BOOST_AUTO_TEST_CASE(ThenAnEarlyDisconnectDoesNotAffectOthers)
{
    FrontEndFixture front;
    std::vector<Core::ReplyCallback> callbacks;
    std::mutex mutex;
    front.handler().behaviour = [&](const Core::ServiceRequest&, Core::ReplyCallback callback) {
        const std::lock_guard lock(mutex);
        callbacks.push_back(std::move(callback));
    };
    auto connection = front.connect();
    connection.send(request("Content-Length: 0\r\n", "", "/v1/services/s/scripted"));
    connection.close();
    BOOST_TEST(front.servesGoodRequest());
    const std::lock_guard lock(mutex);
    for (const auto& callback : callbacks)
        callback(Core::Answer { {}, {}, 200, "text/plain", "late" });
    BOOST_TEST(front.servesGoodRequest());
}

BOOST_AUTO_TEST_SUITE_END()
