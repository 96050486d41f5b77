#include "httpserver/httpserver.h"
#include "runtime/asioruntime.h"
#include "standins/rawconnection.h"
#include "support/heldthreads.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

namespace {

namespace http = boost::beast::http;

/// Counts the rounds of the process's events until all clients' requests have been read.
class RoundCounter : public HttpServer::HttpHandler {
public:
    RoundCounter(Runtime::AsioRuntime& runtime, int clients)
        : m_runtime(runtime)
        , m_unread(clients)
    {
    }

    auto handle(HttpServer::HttpRequest, Respond respond) -> void override
    {
        --m_unread;
        respond(HttpServer::HttpResponse { http::status::ok, 11 });
    }

    auto malformedResponse(http::status status, const std::string&) -> HttpServer::HttpResponse override
    {
        return { status, 11 };
    }

    auto countRound() -> void
    {
        if (m_unread == 0)
            return;
        ++m_rounds;
        // Runs again behind everything that is ready by then.
        m_runtime.post([this] { countRound(); });
    }

    [[nodiscard]] auto rounds() const -> int { return m_rounds; }

private:
    Runtime::AsioRuntime& m_runtime;
    std::atomic<int> m_unread;
    std::atomic<int> m_rounds { 0 };
};

struct BusyServer {
    static constexpr int clientCount = 48;

    BusyServer()
        : thread([this] { runtime.run(); })
    {
    }
    ~BusyServer()
    {
        runtime.stop();
        thread.join();
    }
    BusyServer(const BusyServer&) = delete;
    auto operator=(const BusyServer&) -> BusyServer& = delete;

    Runtime::AsioRuntime runtime { 1 };
    RoundCounter handler { runtime, clientCount };
    HttpServer::Server server { runtime.context(), Core::Address("127.0.0.1:0"), handler };
    std::thread thread;
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
    runtime.post([this] { handler.countRound(); });
    release.set_value();
    for (auto& connection : connections)
        BOOST_TEST(connection.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200 "));
    BOOST_TEST(handler.rounds() < clientCount / 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
