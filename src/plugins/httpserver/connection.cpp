#include "httpserver/connection.h"

#include "core/invariant.h"

#include <boost/asio/post.hpp>

namespace HttpServer {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace detail {

    namespace {

        using Error = boost::system::error_code;

        constexpr unsigned version11 = 11;
        /// Time that a new connection has for its first request when the server shuts down.
        constexpr Core::Millis firstRequestTime { 500 };

        auto statusFor(const Error& error) -> http::status
        {
            if (error == http::error::header_limit)
                return http::status::request_header_fields_too_large;
            if (error == http::error::body_limit)
                return http::status::payload_too_large;
            return http::status::bad_request;
        }

        /// Returns true if the connection is closed or broken, so that no response can be sent.
        auto isDisconnect(const Error& error) -> bool
        {
            return error == http::error::end_of_stream || error == asio::error::eof
                || error.category() == asio::error::get_system_category();
        }

        class OneShotResponder {
        public:
            OneShotResponder(std::weak_ptr<Connection> connection, std::weak_ptr<PendingAnswer> answer,
                std::shared_ptr<const ServerState> server)
                : m_connection(std::move(connection))
                , m_answer(std::move(answer))
                , m_server(std::move(server))
            {
            }
            ~OneShotResponder() { deliver(std::nullopt); }
            OneShotResponder(const OneShotResponder&) = delete;
            auto operator=(const OneShotResponder&) -> OneShotResponder& = delete;

            auto deliver(std::optional<Reply> reply) -> void
            {
                if (m_isUsed.exchange(true) || m_server->isDestroyed)
                    return;
                if (const auto connection = m_connection.lock())
                    connection->deliver(m_answer, std::move(reply));
                else
                    discard(reply);
            }

        private:
            std::weak_ptr<Connection> m_connection;
            std::weak_ptr<PendingAnswer> m_answer;
            std::shared_ptr<const ServerState> m_server;
            std::atomic<bool> m_isUsed { false };
        };

    } // namespace

    auto makeRespond(const std::shared_ptr<Connection>& connection, std::weak_ptr<PendingAnswer> answer,
        std::shared_ptr<const ServerState> server) -> HttpHandler::Respond
    {
        auto responder = std::make_shared<OneShotResponder>(connection, std::move(answer), std::move(server));
        return [responder = std::move(responder)](Reply reply) { responder->deliver(std::move(reply)); };
    }

    Connection::Connection(Socket socket, Environment environment)
        : m_socket(std::make_shared<TimedSocket>(std::move(socket)))
        , m_environment(std::move(environment))
        , m_number(++m_environment.server->connections)
        , m_writer(*m_socket)
        , m_replies(*m_socket, m_writer, m_environment.server)
        , m_reader(*m_socket, m_writer, m_environment.server)
        , m_delivered(m_socket->executor())
    {
    }

    auto Connection::serve(std::shared_ptr<Connection> self) -> asio::awaitable<void>
    {
        // Without a local variable, GCC 12 lays out the frame of this coroutine such that it can't be resumed.
        bool isOpen = true;
        while (isOpen) {
            isOpen = co_await self->waitForRequest();
            if (isOpen)
                isOpen = co_await self->serveRequests();
        }
        self->m_isClosing = true;
        self->m_answers.abandon();
        self->m_socket->shutDownSending();
        self->m_socket->cancel();
        self->m_socket->disarmTimeout();
        self->m_reader.releaseBody();
    }

    auto Connection::refuse(std::shared_ptr<Connection> self) -> asio::awaitable<void>
    {
        self->loadLimits();
        co_await self->writeOverloaded();
    }

    auto Connection::loadLimits() -> void
    {
        m_limits = m_environment.server->limits.load();
        m_writer.setIdleTimeout(m_limits->idleTimeout);
        m_reader.setLimits(m_limits);
    }

    auto Connection::closeIfIdle() -> void
    {
        asio::post(executor(), [self = shared_from_this()] {
            if (!self->m_isIdle || self->m_reader.hasInput())
                return;
            if (self->m_hasServed)
                self->m_socket->cancel();
            else
                self->m_socket->armTimeout(firstRequestTime);
        });
    }

    auto Connection::deliver(std::weak_ptr<PendingAnswer> answer, std::optional<Reply> reply) -> void
    {
        asio::post(
            executor(), [self = shared_from_this(), answer = std::move(answer), reply = std::move(reply)]() mutable {
                const auto pending = answer.lock();
                if (!pending) {
                    discard(reply);
                    return;
                }
                pending->deliver(std::move(reply));
                self->m_delivered.notify();
            });
    }

    /// Returns true if a request has begun to arrive.
    auto Connection::waitForRequest() -> asio::awaitable<bool>
    {
        if (m_reader.hasInput())
            co_return true;
        const bool isShuttingDown = m_environment.server->isShuttingDown;
        if (isShuttingDown && m_hasServed)
            co_return false;
        m_isIdle = true;
        loadLimits();
        m_socket->armTimeout(isShuttingDown ? firstRequestTime : m_limits->idleTimeout);
        Error error;
        // A late event for bytes that have been read already ends the wait as well.
        do
            co_await m_socket->stream().async_wait(Socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        while (!error && m_socket->peek() == Runtime::PeekResult::Nothing);
        m_isIdle = false;
        co_return !error;
    }

    auto Connection::serveRequests() -> asio::awaitable<bool>
    {
        loadLimits();
        Parser parser;
        if (const auto error = co_await m_reader.read(parser)) {
            if (m_socket->hasTimedOut() || !isDisconnect(error))
                co_await writeMalformed(parser, error);
            co_return false;
        }
        if (m_reader.isBodyRefused()) {
            co_await writeOverloaded();
            co_return false;
        }
        auto request = parser.release();
        const bool mayOverlap = request.body().empty() && m_environment.handler.mayOverlap(request);
        start(std::move(request), mayOverlap);
        startFollowing();
        bool isOpen = true;
        while (isOpen && !m_answers.isEmpty())
            isOpen = co_await answerFirst();
        co_await m_reader.stopReadingAhead();
        co_return isOpen && !m_isClosing;
    }

    auto Connection::start(HttpRequest request, bool mayOverlap) -> void
    {
        const bool isHead = request.method() == http::verb::head;
        const bool isVersion11 = request.version() >= version11;
        const RequestTraits traits { isHead, request.keep_alive(), isVersion11, mayOverlap && isVersion11 };
        const Core::RequestOrigin origin { m_number, Core::RequestNumber(++m_requests) };
        const auto client = std::make_shared<ClientDisconnectNotifier>(weak_from_this(), origin);
        const auto answer = std::make_shared<PendingAnswer>(traits, client, m_environment.server);
        m_answers.add(answer);
        try {
            m_environment.handler.handleCancellable(
                client, std::move(request), makeRespond(shared_from_this(), answer, m_environment.server));
        } catch (const std::exception&) {
            // The destructor of the unused OneShotResponder delivers the failure.
        }
    }

    auto Connection::startFollowing() -> void
    {
        while (!m_isClosing && !m_environment.server->closesConnections() && m_answers.takesOverlapping(*m_limits)) {
            auto request = m_reader.peekRequest();
            if (!request)
                break;
            if (!m_environment.handler.mayOverlap(*request)) {
                m_reader.holdBackPeeked();
                break;
            }
            m_reader.takePeeked();
            start(std::move(*request), true);
        }
        auto callback = [self = shared_from_this()](bool isOpen) { self->handleInput(isOpen); };
        if (m_isClosing)
            m_reader.watchForClose(std::move(callback));
        else
            m_reader.readAhead(std::move(callback));
    }

    auto Connection::handleInput(bool isOpen) -> void
    {
        if (isOpen) {
            startFollowing();
            return;
        }
        m_isClosing = true;
        m_answers.notifyDisconnect();
        m_replies.stop();
    }

    auto Connection::answerFirst() -> asio::awaitable<bool>
    {
        const auto answer = m_answers.first();
        while (!answer->isDelivered())
            co_await m_delivered.wait();
        auto delivered = answer->takeReply();
        auto reply = delivered ? std::move(*delivered) : Reply(m_environment.handler.failureResponse());
        const bool isLast = m_answers.size() == 1;
        const bool keepsOpen = ReplyWriter::keepsOpen(reply, answer->request())
            && !(isLast && m_environment.server->closesConnections());
        // Whatever is open behind a closing response would have no response.
        Core::invariant(keepsOpen || isLast, "httpserver.nothing-behind-close");
        m_isClosing = m_isClosing || !keepsOpen;
        setKeepAlive(reply, keepsOpen);
        const bool isWritten = co_await m_replies.write(reply, answer->request());
        m_answers.removeFirst();
        m_reader.releaseBody();
        m_hasServed = true;
        if (!isWritten)
            co_return false;
        if (!keepsOpen) {
            co_await m_reader.stopReadingAhead();
            co_await m_writer.discardInput();
            co_return false;
        }
        if (!isLast)
            startFollowing();
        co_return true;
    }

    auto Connection::writeOverloaded() -> asio::awaitable<void>
    {
        auto response = m_environment.handler.overloadedResponse();
        co_await writeLast(response);
    }

    auto Connection::writeMalformed(const Parser& parser, const Error& cause) -> asio::awaitable<void>
    {
        if (m_socket->hasTimedOut() && !parser.got_some())
            co_return;
        const auto status = m_socket->hasTimedOut() ? http::status::request_timeout : statusFor(cause);
        const auto detail
            = m_socket->hasTimedOut() ? std::string("timed out while receiving the request") : cause.message();
        auto response = m_environment.handler.malformedResponse(status, detail);
        co_await writeLast(response);
    }

    auto Connection::writeLast(HttpResponse& response) -> asio::awaitable<void>
    {
        response.keep_alive(false);
        response.prepare_payload();
        const bool isWritten = co_await m_writer.write(response);
        if (isWritten)
            co_await m_writer.discardInput();
    }

} // namespace detail

} // namespace HttpServer
