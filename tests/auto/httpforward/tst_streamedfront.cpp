#include "frontfixture.h"
#include "largebodies.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace HttpForwardTest;

namespace {

constexpr std::size_t largeBytes = 2UL * 1024 * 1024;
const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nX-Seal: s1\r\n";

struct LargeAnswers : ForwardFrontFixture {
    auto request(StandIns::RawConnection& connection) -> void
    {
        connection.send("GET /stock/7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\nTime-Left: 2000\r\n\r\n");
    }

    /// Returns everything that the caller receives until its connection ends.
    auto receiveAll() -> std::string
    {
        StandIns::RawConnection connection(server.port());
        request(connection);
        return connection.readToEnd();
    }

    /// Returns false for a health check, which follows a lost answer.
    static auto isRequest(const std::string& requestHead) -> bool { return requestHead.starts_with("GET /stock/"); }

    static auto bodyOf(const std::string& reply) -> std::string { return reply.substr(reply.find("\r\n\r\n") + 4); }

    const std::string body = numberedBody(largeBytes);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ALargeAnswerThroughAFront, LargeAnswers)

BOOST_AUTO_TEST_SUITE(ReachesItsCallerWhole)

BOOST_AUTO_TEST_CASE(WithItsLength)
{
    ScriptedUpstream upstream({ head + "Content-Length: " + std::to_string(largeBytes) + "\r\n\r\n" + body });
    serve(upstream);
    server.startDraining();
    const auto reply = receiveAll();
    BOOST_TEST(reply.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(reply.find("X-Seal: s1") != std::string::npos);
    BOOST_TEST(reply.find("Content-Length: " + std::to_string(largeBytes)) != std::string::npos);
    BOOST_TEST((bodyOf(reply) == body));
}

BOOST_AUTO_TEST_CASE(InChunksIfItHasNoLength)
{
    for (const auto& script :
        { "CLOSE " + head + "\r\n" + body, head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body) + "\r\n" }) {
        ScriptedUpstream upstream({ script });
        serve(upstream);
        StandIns::RawConnection connection(server.port());
        request(connection);
        const auto reply = connection.readUntil("\r\n0\r\n\r\n");
        BOOST_TEST(reply.find("Transfer-Encoding: chunked") != std::string::npos);
        BOOST_TEST((unchunked(bodyOf(reply)) == body));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatBreaksOff)

BOOST_AUTO_TEST_CASE(NeverLooksComplete)
{
    const auto half = body.substr(0, largeBytes / 2);
    const std::vector<std::string> scripts {
        "CLOSE " + head + "Content-Length: " + std::to_string(largeBytes) + "\r\n\r\n" + half,
        "CLOSE " + head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body).substr(0, half.size()),
        "RESET " + head + "\r\n" + half,
        "ENDLESS " + head + "Content-Length: " + std::to_string(largeBytes) + "\r\n\r\n" + half + "|",
    };
    for (const auto& script : scripts) {
        ScriptedUpstream upstream({ script });
        serve(upstream);
        const auto reply = receiveAll();
        BOOST_TEST(reply.starts_with("HTTP/1.1 200 "), script.substr(0, 90));
        BOOST_TEST(bodyOf(reply).size() < largeBytes);
        BOOST_TEST(!reply.ends_with("0\r\n\r\n"), script.substr(0, 90));
        const auto heads = upstream.requestHeads();
        BOOST_TEST(std::count_if(heads.begin(), heads.end(), isRequest) == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseCaller)

BOOST_AUTO_TEST_CASE(LeavesEndsTheWorkOfTheUpstream)
{
    ScriptedUpstream upstream({ "ENDLESS " + head + "\r\n|more and more" });
    serve(upstream);
    {
        StandIns::RawConnection connection(server.port());
        request(connection);
        connection.readUntil("more and more");
        connection.close();
    }
    const auto leftAt = std::chrono::steady_clock::now();
    while (!upstream.hasPeerClosed())
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    // Before the deadline of the request would have ended it.
    BOOST_TEST((std::chrono::steady_clock::now() - leftAt < std::chrono::milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(DoesNotReadStopsTheUpstreamUntilTheDeadline)
{
    ScriptedUpstream upstream({ "ENDLESS " + head + "\r\n|more and more" });
    serve(upstream);
    StandIns::RawConnection connection(server.port());
    request(connection);
    while (!upstream.hasPeerClosed())
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    constexpr std::size_t socketBuffers = 16UL * 1024 * 1024;
    BOOST_TEST(upstream.endlessBytes() < socketBuffers);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
