#include "httpserver/httpserver.h"
#include "runtime/asioruntime.h"
#include "standins/rawconnection.h"
#include "support/heldthreads.h"
#include "support/runtimethread.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>

namespace {

namespace http = boost::beast::http;

/// Answers "done" at once, or a body of the given size for the path /large.
class ImmediateHandler : public HttpServer::HttpHandler {
public:
    static constexpr std::size_t largeSize = 384UL * 1024;

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override
    {
        HttpServer::HttpResponse response { http::status::ok, 11 };
        response.body() = request.target() == "/large" ? std::string(largeSize, 'x') : std::string("done");
        respond(std::move(response));
    }

    auto malformedResponse(http::status status, const std::string&) -> HttpServer::HttpResponse override
    {
        return { status, 11 };
    }
};

/// Server on a single thread, which a test can hold up as a VM without processor time does.
struct SingleThreadedServer {
    auto shutDown() -> std::future<void>
    {
        auto done = std::make_shared<std::promise<void>>();
        auto end = done->get_future();
        server.shutDown([done = std::move(done)] { done->set_value(); });
        return end;
    }

    Runtime::AsioRuntime runtime { 1 };
    ImmediateHandler handler;
    HttpServer::Server server { runtime.context(), Core::Address("127.0.0.1:0"), handler };
    TestSupport::RuntimeThread thread { runtime };
};

constexpr auto request = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(AServerThatShutsDown, SingleThreadedServer)

BOOST_AUTO_TEST_SUITE(WhileConnectionsWaitToBeAccepted)

/// Closing the listening socket reset the connections in its queue.
BOOST_AUTO_TEST_CASE(AnswersTheirRequests)
{
    auto release = TestSupport::holdThreads(runtime, 1);
    std::vector<StandIns::RawConnection> connections;
    for (int count = 0; count < 8; ++count) {
        connections.emplace_back(server.port());
        connections.back().send(request);
    }
    const auto end = shutDown();
    release.set_value();
    for (auto& connection : connections)
        BOOST_TEST(connection.readToEnd().ends_with("done"));
    end.wait();
}

BOOST_AUTO_TEST_CASE(AnswersARequestThatFollowsItsConnection)
{
    auto release = TestSupport::holdThreads(runtime, 1);
    StandIns::RawConnection connection(server.port());
    const auto end = shutDown();
    release.set_value();
    connection.send(request);
    BOOST_TEST(connection.readToEnd().ends_with("done"));
    end.wait();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhileAClientHasSentMoreThanItsRequest)

/// Closing a connection with unread input reset it, and the rest of the answer was lost.
BOOST_AUTO_TEST_CASE(DeliversTheWholeAnswerFirst)
{
    server.startDraining();
    StandIns::RawConnection connection(server.port());
    connection.send("GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
    auto answer = connection.readUntil("\r\n\r\n");
    connection.send(request);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    answer += connection.readToEnd();
    BOOST_TEST(answer.size() > ImmediateHandler::largeSize);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhileClientsKeepSending)

/// Each answer would be a reason to wait for the next request.
BOOST_AUTO_TEST_CASE(EndsByTheAnswersToWhatItHadRead)
{
    std::atomic<int> answers { 0 };
    std::vector<StandIns::RawConnection> connections;
    for (int client = 0; client < 4; ++client)
        connections.emplace_back(server.port());
    std::vector<std::jthread> clients;
    for (auto& connection : connections)
        clients.emplace_back([&connection, &answers] {
            for (bool isOpen = true; isOpen;) {
                connection.send(request);
                isOpen = connection.readUntil("done").ends_with("done");
                answers += isOpen ? 1 : 0;
            }
        });
    while (answers < 100)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    const auto end = shutDown();
    BOOST_TEST((end.wait_for(std::chrono::seconds(10)) == std::future_status::ready));
    BOOST_TEST(server.openRequests() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithAnIdleConnection)

BOOST_AUTO_TEST_CASE(ClosesItAndEnds)
{
    StandIns::RawConnection connection(server.port());
    connection.send(request);
    BOOST_TEST(connection.readUntil("done").ends_with("done"));
    const auto end = shutDown();
    BOOST_TEST(connection.readToEnd().empty());
    end.wait();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
