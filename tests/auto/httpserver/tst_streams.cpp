#include "scriptedserver.h"

#include <boost/test/unit_test.hpp>
#include <future>

namespace {

namespace http = boost::beast::http;

/// Body whose parts the test hands out.
class ScriptedBody : public Ports::BodyStream {
public:
    auto read(PartCallback callback) -> void override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_callback = std::move(callback);
            ++m_reads;
        }
        m_changed.notify_all();
    }

    auto cancel() -> void override { m_cancelled.set_value(); }

    /// Returns false if the body isn't asked for its next part in a long time.
    auto give(Core::Result<std::string> part) -> bool
    {
        std::unique_lock lock(m_mutex);
        if (!m_changed.wait_for(lock, ScriptedHandler::patience, [this] { return m_callback != nullptr; }))
            return false;
        const auto callback = std::exchange(m_callback, nullptr);
        lock.unlock();
        callback(std::move(part));
        return true;
    }

    auto breakOff() -> bool { return give(Core::fail(Core::ErrorKind::Unreachable, "the upstream left", "retry")); }
    auto isCancelled() -> bool
    {
        return m_cancelEvent.wait_for(ScriptedHandler::patience) == std::future_status::ready;
    }
    auto reads() -> std::size_t
    {
        const std::lock_guard lock(m_mutex);
        return m_reads;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    PartCallback m_callback;
    std::size_t m_reads = 0;
    std::promise<void> m_cancelled;
    std::future<void> m_cancelEvent = m_cancelled.get_future();
};

struct StreamingServer : ScriptedServer {
    using ScriptedServer::ScriptedServer;

    /// Answers with a streamed body, which is in chunks if no length is given.
    auto stream(const std::string& target, std::optional<std::uint64_t> length = std::nullopt) -> void
    {
        HttpServer::HttpResponse head { http::status::ok, 11 };
        head.set("Source", "upstream");
        if (length)
            head.content_length(*length);
        else
            head.chunked(true);
        BOOST_TEST(handler.waitForStarted(1));
        handler.answer(target, HttpServer::StreamedResponse { std::move(head), body });
    }

    auto request(const std::string& target, const std::string& method = "GET", const std::string& version = "1.1")
        -> void
    {
        connection.send(method + ' ' + target + " HTTP/" + version + "\r\nHost: x\r\n\r\n");
    }

    std::shared_ptr<ScriptedBody> body = std::make_shared<ScriptedBody>();
    StandIns::RawConnection connection { server.port() };
};

struct ServerForSlowReaders : StreamingServer {
    ServerForSlowReaders()
        : StreamingServer(HttpServer::Limits { .idleTimeout = Core::Millis(300) })
    {
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AStreamedResponse, StreamingServer)

BOOST_AUTO_TEST_SUITE(InChunks)

BOOST_AUTO_TEST_CASE(ArrivesPartByPart)
{
    request("/s");
    stream("/s");
    BOOST_TEST(connection.readUntil("\r\n\r\n").find("Source: upstream") != std::string::npos);
    BOOST_TEST(body->give("first part of it"));
    BOOST_TEST(connection.readUntil("it\r\n") == "10\r\nfirst part of it\r\n");
    BOOST_TEST(body->give("second"));
    BOOST_TEST(connection.readUntil("second\r\n") == "6\r\nsecond\r\n");
    BOOST_TEST(body->give(""));
    BOOST_TEST(connection.readUntil("\r\n\r\n") == "0\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(LeavesTheConnectionOpen)
{
    request("/s");
    stream("/s");
    BOOST_TEST(body->give(""));
    BOOST_TEST(connection.readUntil("0\r\n\r\n").ends_with("0\r\n\r\n"));
    request("/t");
    BOOST_TEST(handler.waitForStarted(2));
    handler.answer("/t");
    BOOST_TEST(connection.readUntil("to /t\n").ends_with("to /t\n"));
}

BOOST_AUTO_TEST_CASE(ThatBreaksOffHasNoLastChunk)
{
    request("/s");
    stream("/s");
    BOOST_TEST(body->give("part"));
    BOOST_TEST(body->breakOff());
    const auto answer = connection.readToEnd();
    BOOST_TEST(answer.ends_with("4\r\npart\r\n"), answer);
}

BOOST_AUTO_TEST_CASE(IsDelimitedByTheConnectionForAnOldClient)
{
    request("/s", "GET", "1.0");
    stream("/s");
    BOOST_TEST(body->give("part"));
    BOOST_TEST(body->give(""));
    const auto answer = connection.readToEnd();
    BOOST_TEST(answer.ends_with("\r\n\r\npart"));
    BOOST_TEST(answer.find("chunked") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithALength)

BOOST_AUTO_TEST_CASE(ArrivesWhole)
{
    request("/s");
    stream("/s", 8);
    BOOST_TEST(body->give("part"));
    BOOST_TEST(body->give("part"));
    BOOST_TEST(body->give(""));
    BOOST_TEST(connection.readUntil("partpart").ends_with("\r\n\r\npartpart"));
}

/// Bytes behind the body would be taken for the next response.
BOOST_AUTO_TEST_CASE(IsFollowedByNothingButTheNextResponse)
{
    request("/s");
    stream("/s", 4);
    BOOST_TEST(body->give("part"));
    BOOST_TEST(body->give(""));
    request("/t");
    BOOST_TEST(handler.waitForStarted(2));
    handler.answer("/t");
    const auto answers = connection.readUntil("to /t\n");
    BOOST_TEST(answers.find("\r\n\r\npartHTTP/1.1 200 OK\r\n") != std::string::npos, answers);
}

BOOST_AUTO_TEST_CASE(ThatEndsEarlyEndsTheConnection)
{
    request("/s");
    stream("/s", 8);
    BOOST_TEST(body->give("part"));
    BOOST_TEST(body->give(""));
    const auto answer = connection.readToEnd();
    BOOST_TEST(answer.ends_with("\r\n\r\npart"), answer);
}

BOOST_AUTO_TEST_CASE(ThatIsLongerThanThatIsCutAndCancelled)
{
    request("/s");
    stream("/s", 4);
    BOOST_TEST(body->give("part"));
    BOOST_TEST(body->give("HTTP/1.1 200 OK"));
    const auto answer = connection.readToEnd();
    BOOST_TEST(answer.ends_with("\r\n\r\npart"), answer);
    BOOST_TEST(body->isCancelled());
}

BOOST_AUTO_TEST_CASE(ToHeadHasNoBody)
{
    request("/s", "HEAD");
    stream("/s", 8);
    const auto head = connection.readUntil("\r\n\r\n");
    BOOST_TEST(head.find("Content-Length: 8") != std::string::npos);
    BOOST_TEST(body->isCancelled());
    request("/t");
    BOOST_TEST(handler.waitForStarted(2));
    handler.answer("/t");
    BOOST_TEST(connection.readUntil("to /t\n").starts_with("HTTP/1.1 200 OK"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(InFrontOfOtherResponses)

BOOST_AUTO_TEST_CASE(IsWrittenWholeBeforeThem)
{
    request("/safe1");
    request("/safe2");
    BOOST_TEST(handler.waitForStarted(2));
    handler.answer("/safe2");
    stream("/safe1");
    BOOST_TEST(body->give("part"));
    BOOST_TEST(body->give(""));
    const auto answers = connection.readUntil("/safe2\n");
    BOOST_TEST(answers.find("0\r\n\r\n") < answers.find("answer to /safe2"));
}

BOOST_AUTO_TEST_CASE(ThatBreaksOffEndsTheRequestsBehindIt)
{
    request("/safe1");
    request("/safe2");
    BOOST_TEST(handler.waitForStarted(2));
    stream("/safe1");
    BOOST_TEST(body->give("part"));
    BOOST_TEST(body->breakOff());
    BOOST_TEST(handler.waitForAbandoned(1));
    const auto answer = connection.readToEnd();
    BOOST_TEST(answer.ends_with("4\r\npart\r\n"), answer);
}

BOOST_AUTO_TEST_CASE(IsCancelledIfItsTurnDoesNotCome)
{
    request("/safe1");
    request("/safe2");
    BOOST_TEST(handler.waitForStarted(2));
    stream("/safe2");
    const auto broken = std::make_shared<ScriptedBody>();
    HttpServer::HttpResponse head { http::status::ok, 11 };
    handler.answer("/safe1", HttpServer::StreamedResponse { std::move(head), broken });
    BOOST_TEST(broken->breakOff());
    BOOST_TEST(body->isCancelled());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseClientLeaves)

BOOST_AUTO_TEST_CASE(IsCancelledWhileItWaitsForTheUpstream)
{
    request("/s");
    stream("/s");
    BOOST_TEST(body->give("part"));
    BOOST_TEST(connection.readUntil("part\r\n").ends_with("part\r\n"));
    connection.close();
    BOOST_TEST(body->isCancelled());
}

/// Incident of issue 47: nothing watched the connection any more once its last response had begun.
BOOST_AUTO_TEST_CASE(IsCancelledIfItIsTheLastOfItsConnectionAndMoreWasSent)
{
    connection.send("GET /s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream("/s");
    BOOST_TEST(body->give("part"));
    BOOST_TEST(connection.readUntil("part\r\n").ends_with("part\r\n"));
    request("/t");
    connection.close();
    BOOST_TEST(body->isCancelled());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhoseClientReadsNothing, ServerForSlowReaders)

BOOST_AUTO_TEST_CASE(IsReadNoFurtherAndEndsAfterTheIdleTime)
{
    request("/s");
    stream("/s");
    constexpr std::size_t partSize = 1024UL * 1024;
    constexpr std::size_t mostParts = 64;
    std::size_t parts = 0;
    const auto isCancelled = std::async(std::launch::async, [this] { return body->isCancelled(); });
    while (parts < mostParts && isCancelled.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        if (body->reads() > parts && body->give(std::string(partSize, 'x')))
            ++parts;
        else
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    BOOST_TEST(parts < mostParts);
    BOOST_TEST(body->reads() == parts);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
