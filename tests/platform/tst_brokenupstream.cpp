#include "platform/sitefixture.h"
#include "runtime/endpoints.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>

namespace {

using PlatformTest::SiteFixture;

/// Sends a request and returns every byte up to the end of the connection. The project's own client, which rejects
/// undefined statuses itself, would hide them.
auto bytesOfAnswer(const Core::Address& server, const std::string& request) -> std::string
{
    constexpr timeval readTimeout { 15, 0 };
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(Runtime::requireEndpoint(server));
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &readTimeout, sizeof readTimeout);
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string received;
    std::array<char, 4096> buffer {};
    for (ssize_t count = 1; count > 0;) {
        count = ::recv(socket.native_handle(), buffer.data(), buffer.size(), 0);
        received.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    return received;
}

/// All upstreams answer with a status that HTTP does not define, with id, seal and body as usual.
struct UndefinedStatusFixture : SiteFixture {
    static constexpr unsigned undefinedStatus = 0;

    UndefinedStatusFixture()
    {
        for (int upstream = 0; upstream < 3; ++upstream)
            site.upstream(upstream).setStatus(undefinedStatus);
    }

    static auto request(const std::string& id, const std::string& target, const std::string& field) -> std::string
    {
        return "POST " + target + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id + "\r\n" + field
            + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    }

    auto checkWhatTheUpstreamAnswers() -> void
    {
        const Core::Address upstream("127.0.0.1:" + std::to_string(site.upstreamPort(0)));
        const auto answer = bytesOfAnswer(upstream, request("direct", "/stock/7", "Expect-Instance: i-0"));
        BOOST_REQUIRE_MESSAGE(answer.starts_with("HTTP/1.1 000 "), answer);
        BOOST_REQUIRE_MESSAGE(answer.ends_with("done by i-0"), answer);
    }

    /// Checks that the caller gets a failure of the entry VM's own, or the end of the connection.
    auto checkOwnFailure(int vm, const std::string& id, const std::string& target) -> void
    {
        const auto answer = bytesOfAnswer(site.front(vm), request(id, target, "Request-Deadline: 3000"));
        const bool isFailure = answer.starts_with("HTTP/1.1 502 ") || answer.starts_with("HTTP/1.1 504 ");
        BOOST_TEST((answer.empty() || isFailure), answer);
        BOOST_TEST(answer.find("HTTP/1.1 000") == std::string::npos, answer);
        BOOST_TEST(answer.find("Server-Seal") == std::string::npos, answer);
        BOOST_TEST(answer.find("done by") == std::string::npos, answer);
        BOOST_TEST(site.runs().contains(id));
        BOOST_TEST_MESSAGE(target << ": " << answer.substr(0, answer.find("\r\n")));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryVmsOnThePlatform, UndefinedStatusFixture)

BOOST_AUTO_TEST_SUITE(WhenUpstreamsAnswerWithTheStatusZero)

/// Issue 41.
BOOST_AUTO_TEST_CASE(TellTheirCallersOfAFailure)
{
    checkWhatTheUpstreamAnswers();
    checkOwnFailure(0, "booking", "/stock/7");
    checkOwnFailure(1, "read", "/prices/7");
    BOOST_TEST(site.runs().at("booking") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
