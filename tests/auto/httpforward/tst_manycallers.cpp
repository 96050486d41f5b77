#include "frontfixture.h"
#include "largebodies.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace HttpForwardTest;

namespace {

namespace http = boost::beast::http;

constexpr std::size_t callerCount = 200;
constexpr std::uint64_t answerBytes = 2UL * 1024 * 1024;
/// Memory of the VM; a quarter of it is for answers.
constexpr std::uint64_t memory = 64UL * 1024 * 1024;

/// Upstream that answers each request with a large body, and counts the runs of each.
class LargeAnswers : public HttpServer::HttpHandler {
public:
    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_runs.insert(std::string(request["Request-Id"]));
        }
        HttpServer::HttpResponse response { http::status::ok, 11 };
        response.set("Request-Id", request["Request-Id"]);
        response.body() = m_body;
        respond(std::move(response));
    }
    auto malformedResponse(http::status status, const std::string&) -> HttpServer::HttpResponse override
    {
        return { status, 11 };
    }
    [[nodiscard]] auto runs() -> std::multiset<std::string>
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    const std::string m_body = numberedBody(answerBytes);
    std::mutex m_mutex;
    std::multiset<std::string> m_runs;
};

auto manyConnections() -> HttpServer::Limits
{
    HttpServer::Limits limits;
    limits.maximumConnections = 2 * callerCount;
    return limits;
}

struct ManyCallers : ForwardFrontFixture {
    ManyCallers()
        : ForwardFrontFixture(manyConnections(),
            { std::make_shared<Core::BufferAccount>(Core::Bytes(memory / 4)), HttpClient::streamMemory })
    {
        auto route = stockRoute();
        route.isIdempotent = false;
        route.timeout = Core::Millis(60'000);
        route.targetLatency = Core::Millis(30'000);
        serve(Core::Address("127.0.0.1:" + std::to_string(upstreamServer.port())), route, Core::SlotCount(1000));
    }
    ~ManyCallers()
    {
        upstreamRuntime.stop();
        upstreamThread.join();
    }
    ManyCallers(const ManyCallers&) = delete;
    auto operator=(const ManyCallers&) -> ManyCallers& = delete;

    struct Caller {
        std::string id;
        unsigned status = 0;
        bool isWhole = false;
    };

    /// Sends a request and reads its answer, without keeping it.
    auto ask(const std::string& id) const -> Caller
    {
        StandIns::RawConnection connection(server.port());
        connection.send("GET /stock/7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
            + "\r\nTime-Left: 60000\r\nConnection: close\r\n\r\n");
        const auto reply = connection.readToEnd();
        const auto bodyAt = reply.find("\r\n\r\n");
        if (bodyAt == std::string::npos)
            return { id };
        const auto isWhole = std::string_view(reply).substr(bodyAt + 4) == body;
        return { id, static_cast<unsigned>(std::stoul(reply.substr(9, 3))), isWhole };
    }

    const std::string body = numberedBody(answerBytes);
    LargeAnswers upstream;
    Runtime::AsioRuntime upstreamRuntime { 2 };
    HttpServer::Server upstreamServer { upstreamRuntime.context(), Core::Address("127.0.0.1:0"), upstream,
        manyConnections() };
    std::thread upstreamThread { [this] { upstreamRuntime.run(); } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(ManyCallersOfLargeAnswers)

BOOST_FIXTURE_TEST_SUITE(AtAVmWithLittleMemory, ManyCallers)

BOOST_AUTO_TEST_CASE(GetThemWholeOrAreRefusedBeforeAnyUpstreamRunsThem)
{
    std::vector<std::future<Caller>> callers;
    for (std::size_t number = 0; number < callerCount; ++number)
        callers.push_back(std::async(std::launch::async, [this, number] { return ask("r" + std::to_string(number)); }));
    std::multiset<std::string> served;
    std::size_t refused = 0;
    for (auto& pending : callers) {
        const auto caller = pending.get();
        BOOST_TEST((caller.status == 200 || caller.status == 503), caller.id << " got " << caller.status);
        BOOST_TEST(caller.isWhole == (caller.status == 200), caller.id);
        if (caller.status == 200)
            served.insert(caller.id);
        else
            ++refused;
    }
    BOOST_TEST((upstream.runs() == served));
    BOOST_TEST(served.size() >= memory / 4 / HttpClient::streamMemory.value());
    BOOST_TEST(refused > 0U);
    BOOST_TEST(buffers.account->highest().value() < memory / 2);
    BOOST_TEST(buffers.account->used().value() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
