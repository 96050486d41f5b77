#include "httpserver/httpserver.h"
#include "runtime/asioruntime.h"
#include "standins/rawconnection.h"
#include "support/heldthreads.h"
#include "support/roundcounter.h"
#include "support/runtimethread.h"

#include <atomic>
#include <boost/test/unit_test.hpp>

namespace {

namespace http = boost::beast::http;

/// Answers each request at once, and stops the counter when all clients' requests have been read.
class CountingHandler : public HttpServer::HttpHandler {
public:
    CountingHandler(TestSupport::RoundCounter& counter, int clients)
        : m_counter(counter)
        , m_unread(clients)
    {
    }

    auto handle(HttpServer::HttpRequest, Respond respond) -> void override
    {
        if (--m_unread == 0)
            m_counter.stop();
        respond(HttpServer::HttpResponse { http::status::ok, 11 });
    }

    auto malformedResponse(http::status status, const std::string&) -> HttpServer::HttpResponse override
    {
        return { status, 11 };
    }

private:
    TestSupport::RoundCounter& m_counter;
    std::atomic<int> m_unread;
};

struct BusyServer {
    static constexpr int clientCount = 48;

    Runtime::AsioRuntime runtime { 1 };
    TestSupport::RoundCounter counter { runtime };
    CountingHandler handler { counter, clientCount };
    HttpServer::Server server { runtime.context(), Core::Address("127.0.0.1:0"), handler };
    TestSupport::RuntimeThread thread { runtime };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ABusyServer, BusyServer)

BOOST_AUTO_TEST_SUITE(WhoseClientsConnectTogether)

/// Incident of issue 47: one connection was accepted for each round of the process's events, and the others waited
/// unread.
BOOST_AUTO_TEST_CASE(ReadsThemInFewRoundsOfItsEvents)
{
    auto release = TestSupport::holdThreads(runtime, 1);
    std::vector<StandIns::RawConnection> connections;
    for (int client = 0; client < clientCount; ++client) {
        connections.emplace_back(server.port());
        connections.back().send("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    counter.start();
    release.set_value();
    for (auto& connection : connections)
        BOOST_TEST(connection.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200 "));
    BOOST_TEST(counter.rounds() < clientCount / 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
