#include "httpserver/httpserver.h"
#include "runtime/asioruntime.h"
#include "standins/rawconnection.h"
#include "support/runtimethread.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

namespace {

namespace http = boost::beast::http;

constexpr Core::Millis handlingTime { 2 };

/// Answers each request after a short time, and counts the clients that are reported as disconnected meanwhile.
class SlowHandler : public HttpServer::HttpHandler {
public:
    explicit SlowHandler(Runtime::AsioRuntime& runtime)
        : m_runtime(runtime)
    {
    }

    auto handle(HttpServer::HttpRequest, Respond respond) -> void override
    {
        const auto timer = std::make_shared<std::unique_ptr<Ports::Timer>>();
        *timer = m_runtime.after(handlingTime, [respond = std::move(respond), timer] {
            HttpServer::HttpResponse response { http::status::ok, 11 };
            response.body() = "done";
            respond(std::move(response));
        });
    }

    auto handleCancellable(const std::shared_ptr<HttpServer::DisconnectNotifier>& client,
        HttpServer::HttpRequest request, Respond respond) -> void override
    {
        client->onDisconnect([this] { ++disconnects; });
        if (!isSilent)
            handle(std::move(request), std::move(respond));
        else
            m_unanswered.push_back(std::move(respond));
    }

    auto malformedResponse(http::status status, const std::string&) -> HttpServer::HttpResponse override
    {
        return { status, 11 };
    }

    std::atomic<int> disconnects { 0 };
    std::atomic<bool> isSilent { false };

private:
    Runtime::AsioRuntime& m_runtime;
    std::vector<Respond> m_unanswered;
};

struct RunningServer {
    /// Sends requests one after the other, each on a connection of its own and in two parts. Returns the number of
    /// answers.
    auto exchange(int requests) -> int
    {
        int answers = 0;
        for (int request = 0; request < requests; ++request) {
            StandIns::RawConnection connection(server.port());
            connection.send("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n");
            connection.send("body");
            answers += connection.readUntil("done").ends_with("done") ? 1 : 0;
        }
        return answers;
    }

    auto waitForDisconnect() -> bool
    {
        for (int wait = 0; wait < 400 && handler.disconnects == 0; ++wait)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        return handler.disconnects > 0;
    }

    Runtime::AsioRuntime runtime { 4 };
    SlowHandler handler { runtime };
    HttpServer::Server server { runtime.context(), Core::Address("127.0.0.1:0"), handler };
    TestSupport::RuntimeThread thread { runtime };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AClient, RunningServer)

BOOST_AUTO_TEST_SUITE(ThatWaitsForItsAnswer)

/// A late event of the socket, for bytes that had been read, counted as a disconnect.
BOOST_AUTO_TEST_CASE(IsNotTakenAsDisconnected)
{
    constexpr int clients = 16;
    constexpr int requestsPerClient = 250;
    std::atomic<int> answers { 0 };
    {
        std::vector<std::jthread> threads;
        for (int client = 0; client < clients; ++client)
            threads.emplace_back([&] { answers += exchange(requestsPerClient); });
    }
    BOOST_TEST(answers == clients * requestsPerClient);
    BOOST_TEST(handler.disconnects == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatLeaves)

BOOST_AUTO_TEST_CASE(IsNoticed)
{
    handler.isSilent = true;
    StandIns::RawConnection connection(server.port());
    connection.send("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    connection.close();
    BOOST_TEST(waitForDisconnect());
}

BOOST_AUTO_TEST_CASE(IsNoticedAlsoBehindItsNextRequest)
{
    handler.isSilent = true;
    StandIns::RawConnection connection(server.port());
    connection.send("GET /x HTTP/1.1\r\nHost: x\r\n\r\nGET /y HTTP/1.1\r\nHost: x\r\n\r\n");
    connection.shutdownSend();
    BOOST_TEST(waitForDisconnect());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatPipelinesRequests)

BOOST_AUTO_TEST_CASE(GetsTheAnswersToAll)
{
    StandIns::RawConnection connection(server.port());
    std::string requests;
    constexpr int pipelined = 50;
    for (int request = 1; request < pipelined; ++request)
        requests += "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'x');
    connection.send(requests + "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const auto answers = connection.readToEnd();
    int count = 0;
    for (auto at = answers.find("done"); at != std::string::npos; at = answers.find("done", at + 1))
        ++count;
    BOOST_TEST(count == pipelined);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
