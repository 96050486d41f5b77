#include "frontfixture.h"
#include "scriptedupstreams.h"
#include "standins/rawconnection.h"
#include "support/heldthreads.h"

#include <boost/test/unit_test.hpp>

using namespace HttpForwardTest;

namespace {

const std::string goodAnswer
    = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nX-Seal: s1\r\nKeep-Alive: timeout=9\r\nContent-Length: 4\r\n\r\npegs";
auto requestWithId(const std::string& id) -> std::string
{
    return "GET /stock/7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\nTime-Left: 2000\r\n\r\n";
}

const std::string goodRequest = requestWithId("r1");

} // namespace

BOOST_FIXTURE_TEST_SUITE(AForwardingFront, ForwardFrontFixture)

BOOST_AUTO_TEST_SUITE(AnswersACaller)

BOOST_AUTO_TEST_CASE(WithTheUpstreamsAnswerWithoutConnectionHeaders)
{
    ScriptedUpstream upstream({ goodAnswer });
    serve(upstream);
    StandIns::RawConnection connection(server.port());
    connection.send(goodRequest);
    const auto reply = connection.readUntil("pegs");
    BOOST_TEST(reply.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(reply.find("X-Seal: s1") != std::string::npos);
    BOOST_TEST(reply.find("Keep-Alive") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(WithServiceUnavailableBeforeAnyConfiguration)
{
    const auto reply = exchange(goodRequest);
    BOOST_TEST(reply.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(reply.find("Retry-After: 0.") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AtTheRouteTimeoutAndCancelsTheExchange)
{
    ScriptedUpstream upstream({ "SILENCE" });
    serve(upstream);
    const auto reply = exchange(goodRequest);
    BOOST_TEST(reply.starts_with("HTTP/1.1 504 "));
    for (int wait = 0; wait < 400 && !upstream.hasPeerClosed(); ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    BOOST_TEST(upstream.hasPeerClosed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithOrganisations)

BOOST_AUTO_TEST_CASE(TellsTheUpstreamTheNameInPlaceOfTheKey)
{
    ScriptedUpstream upstream({ goodAnswer });
    serve(upstream, "crews");
    auto request = goodRequest;
    request.insert(request.size() - 2, "Authorization: bearer secret\r\nOrganisation: forged\r\n");
    BOOST_TEST(exchange(request).starts_with("HTTP/1.1 200 "));
    BOOST_REQUIRE(upstream.requestHeads().size() == 1U);
    const auto head = upstream.requestHeads().front();
    BOOST_TEST(head.find("Organisation: crews") != std::string::npos);
    BOOST_TEST(head.find("forged") == std::string::npos);
    BOOST_TEST(head.find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(RefusesAnUnknownKeyAsUnauthorized)
{
    ScriptedUpstream upstream({ goodAnswer });
    serve(upstream, "crews");
    for (const auto* header : { "", "Authorization: Bearer wrong\r\n", "Authorization: secret\r\n",
             "Authorization: Bearer \r\n", "Authorization: Basic secret\r\n" }) {
        auto request = goodRequest;
        request.insert(request.size() - 2, header);
        const auto reply = exchange(request);
        BOOST_TEST(reply.starts_with("HTTP/1.1 401 "), header);
        BOOST_TEST(reply.find("Retry-After") == std::string::npos);
    }
    BOOST_TEST(upstream.requestHeads().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseCallerPipelines)

BOOST_AUTO_TEST_CASE(LetsOnlyRequestsOverlapThatMayRunTwice)
{
    using boost::beast::http::verb;
    const auto mayOverlap = [this](const std::string& target, verb method = verb::get) {
        HttpServer::HttpRequest request { method, target, 11 };
        request.set(boost::beast::http::field::host, "desk.example");
        return front.mayOverlap(request);
    };
    BOOST_TEST(!mayOverlap("/stock/7"));
    Forwarding::Route read;
    read.host = "desk.example";
    read.pathPrefix = "/stock/";
    read.services = { { Core::ServiceId("stock"), 1 } };
    read.isIdempotent = true;
    auto order = read;
    order.pathPrefix = "/stock/orders/";
    order.isIdempotent = false;
    auto configuration = std::make_shared<Forwarding::RoutingConfiguration>();
    configuration->routes.add(read);
    configuration->routes.add(order);
    forwarder.setConfiguration(configuration);
    BOOST_TEST(mayOverlap("/stock/7"));
    BOOST_TEST(mayOverlap("/stock/7?all=1"));
    BOOST_TEST(!mayOverlap("/stock/7", verb::delete_));
    BOOST_TEST(!mayOverlap("/stock/7", verb::put));
    BOOST_TEST(!mayOverlap("/stock/orders/7"));
    BOOST_TEST(!mayOverlap("/unknown"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseCallerDisconnects)

BOOST_AUTO_TEST_CASE(ClosesTheConnectionToTheUpstream)
{
    ScriptedUpstream upstream({ "SILENCE" });
    serve(upstream);
    {
        StandIns::RawConnection connection(server.port());
        connection.send(goodRequest);
        while (upstream.requestHeads().empty())
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        connection.close();
    }
    for (int wait = 0; wait < 100 && !upstream.hasPeerClosed(); ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    BOOST_TEST(upstream.hasPeerClosed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseVmReadsARequestLate)

/// Incident DRAIN, GONE: requests were sent on after their callers had left.
BOOST_AUTO_TEST_CASE(SendsNothingForACallerThatHasLeft)
{
    ScriptedUpstream upstream({ goodAnswer, goodAnswer, goodAnswer });
    serve(upstream);
    // Leaves a connection to the upstream open, over which the next request is sent without delay.
    exchange(requestWithId("first"));
    auto release = TestSupport::holdThreads(runtime, threadCount);
    {
        StandIns::RawConnection connection(server.port());
        connection.send(requestWithId("abandoned"));
    }
    release.set_value();
    BOOST_TEST(exchange(requestWithId("last")).starts_with("HTTP/1.1 200 "));
    for (const auto& head : upstream.requestHeads())
        BOOST_TEST(head.find("abandoned") == std::string::npos);
}

/// Incident of issue 47: requests were sent on after callers that pipeline had left.
BOOST_AUTO_TEST_CASE(SendsNothingForCallersThatHavePipelinedRequestsAndLeft)
{
    ScriptedUpstream upstream({ goodAnswer, goodAnswer, goodAnswer });
    serve(upstream);
    // Leaves a connection to the upstream open, over which the next request is sent without delay.
    exchange(requestWithId("first"));
    std::string pipelined;
    for (int request = 0; request < 12; ++request)
        pipelined += requestWithId("abandoned");
    auto release = TestSupport::holdThreads(runtime, threadCount);
    for (int caller = 0; caller < 8; ++caller) {
        StandIns::RawConnection connection(server.port());
        connection.send(pipelined);
    }
    release.set_value();
    BOOST_TEST(exchange(requestWithId("last")).starts_with("HTTP/1.1 200 "));
    for (const auto& head : upstream.requestHeads())
        BOOST_TEST(head.find("abandoned") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatReceivesMalformedRequests)

BOOST_AUTO_TEST_CASE(RefusesThemAndServesOthers)
{
    ScriptedUpstream upstream({ goodAnswer });
    serve(upstream);
    const std::string head = "GET /stock/7 HTTP/1.1\r\nHost: desk.example\r\n";
    const std::vector<std::pair<std::string, std::string>> cases {
        { "no HTTP at all\r\n\r\n", "400" },
        { head + "X: " + std::string(4000, 'x') + "\r\n\r\n", "431" },
        { "POST /stock/7 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 9999\r\n\r\n", "413" },
        { "POST /stock/7 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "400" },
        { "POST /stock/7 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd", "400" },
        { "POST /stock/7 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n", "400" },
        { "POST /stock/7 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4;" + std::string(200'000, 'x'),
            "400" },
        { head + "Broken header line\r\n\r\n", "400" },
        { "GET /stock/7 HTTP/1.1\r\nHost: desk", "408" },
    };
    for (const auto& [bytes, status] : cases) {
        const auto reply = exchange(bytes);
        BOOST_TEST(reply.starts_with("HTTP/1.1 " + status), reply.substr(0, 40) << " for " << bytes.substr(0, 60));
    }
    BOOST_TEST(upstream.requestHeads().empty());
    BOOST_TEST(exchange(goodRequest).starts_with("HTTP/1.1 200 "));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseTotalBodyLimitIsReached)

BOOST_AUTO_TEST_CASE(RefusesTheLastWithRetryAfterAndServesTheFirst)
{
    ScriptedUpstream upstream({ goodAnswer });
    serve(upstream);
    const std::string head = "POST /stock/7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\nTime-Left: 2000\r\n"
                             "Content-Length: 4000\r\n\r\n";
    StandIns::RawConnection first(server.port());
    first.send(head + "half");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const auto refused = exchange(head);
    BOOST_TEST(refused.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(refused.find("Retry-After: 0.") != std::string::npos);
    first.send(std::string(3996, 'x'));
    BOOST_TEST(first.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhileDraining)

BOOST_AUTO_TEST_CASE(ClosesEachConnectionAfterItsAnswer)
{
    ScriptedUpstream upstream({ goodAnswer });
    serve(upstream);
    server.startDraining();
    StandIns::RawConnection connection(server.port());
    connection.send(goodRequest);
    const auto reply = connection.readToEnd();
    BOOST_TEST(reply.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(reply.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
