#include "httpserver/connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

namespace HttpServer {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace detail {

    namespace {

        using Error = boost::system::error_code;

        /// Time that a new connection has for its first request when the server shuts down.
        constexpr Core::Millis firstRequestTime { 500 };
        constexpr std::size_t readAheadBytes = 512;
        /// Bytes that may wait to be parsed, in addition to a header of the maximum size.
        constexpr std::size_t maximumBufferedBytes = 64UL * 1024;

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

        /// Returns true for any transfer coding but a single "chunked", because the end of such a request is ambiguous.
        auto hasUnknownTransferCoding(const HttpRequest& request) -> bool
        {
            const auto [first, last] = request.equal_range(http::field::transfer_encoding);
            if (first == last)
                return false;
            return std::next(first) != last || !beast::iequals(first->value(), "chunked");
        }

        auto hasNoBody(http::status status) -> bool
        {
            return status == http::status::no_content || status == http::status::not_modified
                || http::to_status_class(status) == http::status_class::informational;
        }

        /// Completes the head of a response whose body follows in parts.
        auto prepareHead(HttpResponse& head, bool takesChunks) -> void
        {
            head.body().clear();
            if (head.has_content_length())
                return;
            const bool isDelimitedByHead = hasNoBody(head.result());
            head.chunked(takesChunks && !isDelimitedByHead);
        }

        class OneShotResponder {
        public:
            OneShotResponder(std::weak_ptr<Connection> connection, std::shared_ptr<const ServerState> server)
                : m_connection(std::move(connection))
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
                    connection->deliver(std::move(reply));
            }

        private:
            std::weak_ptr<Connection> m_connection;
            std::shared_ptr<const ServerState> m_server;
            std::atomic<bool> m_isUsed { false };
        };

    } // namespace

    auto makeRespond(const std::shared_ptr<Connection>& connection, std::shared_ptr<const ServerState> server)
        -> HttpHandler::Respond
    {
        auto responder = std::make_shared<OneShotResponder>(connection, std::move(server));
        return [responder = std::move(responder)](Reply reply) { responder->deliver(std::move(reply)); };
    }

    Connection::Connection(Socket socket, Environment environment)
        : m_socket(std::make_shared<TimedSocket>(std::move(socket)))
        , m_writer(*m_socket)
        , m_environment(std::move(environment))
        , m_signal(m_socket->executor())
    {
    }

    auto Connection::serve(std::shared_ptr<Connection> self) -> asio::awaitable<void>
    {
        bool isOpen = true;
        while (isOpen) {
            isOpen = co_await self->waitForRequest();
            if (isOpen)
                isOpen = co_await self->serveRequest();
        }
        self->m_socket->shutDownSending();
        self->m_socket->cancel();
        self->m_socket->disarmTimeout();
        self->releaseBody();
    }

    auto Connection::refuse(std::shared_ptr<Connection> self) -> asio::awaitable<void>
    {
        self->loadLimits();
        co_await self->writeOverloaded();
    }

    auto Connection::writeOverloaded() -> asio::awaitable<void>
    {
        auto response = m_environment.handler.overloadedResponse();
        response.keep_alive(false);
        response.prepare_payload();
        (void)co_await m_writer.write(response);
        co_await m_writer.discardInput();
    }

    auto Connection::loadLimits() -> void
    {
        m_limits = m_environment.server->limits.load();
        m_writer.setIdleTimeout(m_limits->idleTimeout);
    }

    auto Connection::reserveBody(Parser& parser) -> bool
    {
        if (parser.is_done())
            return true;
        // A body of unknown length is limited to the size that is reserved for it.
        constexpr std::uint64_t unknownLength = 1024UL * 1024;
        const auto limit = m_limits->maximumBody.value();
        const auto reservation = parser.content_length() ? *parser.content_length() : std::min(unknownLength, limit);
        if (!parser.content_length())
            parser.body_limit(reservation);
        auto& reservedBytes = m_environment.server->reservedBodyBytes;
        if (reservedBytes.fetch_add(reservation) + reservation > m_limits->maximumBodyTotal.value()) {
            reservedBytes -= reservation;
            return false;
        }
        m_reservedBytes = reservation;
        return true;
    }

    auto Connection::releaseBody() -> void
    {
        m_environment.server->reservedBodyBytes -= std::exchange(m_reservedBytes, 0U);
    }

    auto Connection::closeIfIdle() -> void
    {
        asio::post(executor(), [self = shared_from_this()] {
            if (!self->m_isIdle || self->hasInput())
                return;
            if (self->m_hasServed)
                self->m_socket->cancel();
            else
                self->m_socket->armTimeout(firstRequestTime);
        });
    }

    auto Connection::deliver(std::optional<Reply> reply) -> void
    {
        asio::post(executor(), [self = shared_from_this(), reply = std::move(reply)]() mutable {
            self->m_isResponseDelivered = true;
            self->m_reply = std::move(reply);
            self->m_signal.notify();
        });
    }

    /// Returns true if a request has begun to arrive.
    auto Connection::waitForRequest() -> asio::awaitable<bool>
    {
        if (hasInput())
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

    /// Reads one request and writes its response. Returns true if the connection stays open.
    auto Connection::serveRequest() -> asio::awaitable<bool>
    {
        Parser parser;
        if (const auto error = co_await readRequest(parser)) {
            if (m_socket->hasTimedOut() || !isDisconnect(error))
                co_await writeMalformed(parser, error);
            co_return false;
        }
        if (m_isBodyRefused) {
            co_await writeOverloaded();
            co_return false;
        }
        auto request = parser.release();
        const RequestTraits traits { request.method() == http::verb::head, request.keep_alive(),
            request.version() >= 11 };
        auto& openRequests = m_environment.server->openRequests;
        ++openRequests;
        auto reply = co_await callHandler(std::move(request));
        const bool isOpen = co_await writeReply(reply, traits);
        --openRequests;
        releaseBody();
        m_hasServed = true;
        co_return isOpen;
    }

    auto Connection::writeReply(Reply& reply, const RequestTraits& request) -> asio::awaitable<bool>
    {
        auto* const streamed = std::get_if<StreamedResponse>(&reply);
        auto& head = streamed != nullptr ? streamed->head : std::get<HttpResponse>(reply);
        const bool isDelimited = request.takesChunks || streamed == nullptr || head.has_content_length();
        const bool keepsOpen = request.keepsAlive && isDelimited && !m_environment.server->closesConnections();
        head.keep_alive(keepsOpen);
        bool isWritten = false;
        if (streamed != nullptr)
            isWritten = co_await writeStreamed(*streamed, request);
        else
            isWritten = co_await writeWhole(head, request);
        if (isWritten && !keepsOpen)
            co_await m_writer.discardInput();
        co_return isWritten&& keepsOpen;
    }

    auto Connection::writeWhole(HttpResponse& response, const RequestTraits& request) -> asio::awaitable<bool>
    {
        if (hasNoBody(response.result()))
            response.body().clear();
        response.prepare_payload();
        if (request.isHead)
            response.body().clear();
        co_return co_await m_writer.write(response);
    }

    auto Connection::writeStreamed(StreamedResponse& response, const RequestTraits& request) -> asio::awaitable<bool>
    {
        const auto body = std::make_shared<PartReader>(std::move(response.body), executor(), m_environment.server);
        auto& head = response.head;
        const bool isDelimited = request.takesChunks || head.has_content_length();
        prepareHead(head, request.takesChunks);
        if (!co_await m_writer.writeHead(head))
            co_return false;
        if (request.isHead || hasNoBody(head.result()))
            co_return true;
        const bool isComplete = co_await m_writer.writeBody(head, body);
        // The end of the connection would look like the end of the body.
        if (!isComplete && !isDelimited)
            m_socket->reset();
        co_return isComplete;
    }

    auto Connection::readRequest(Parser& parser) -> asio::awaitable<Error>
    {
        loadLimits();
        m_buffer.max_size(m_limits->maximumHeader.value() + maximumBufferedBytes);
        parser.header_limit(static_cast<std::uint32_t>(m_limits->maximumHeader.value()));
        parser.body_limit(m_limits->maximumBody.value());
        m_socket->armTimeout(m_limits->headerTimeout.count() > 0 ? m_limits->headerTimeout : m_limits->idleTimeout);
        Error error;
        co_await http::async_read_header(
            m_socket->stream(), m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return error;
        if (hasUnknownTransferCoding(parser.get()))
            co_return http::make_error_code(http::error::bad_transfer_encoding);
        if (!reserveBody(parser)) {
            m_isBodyRefused = true;
            co_return Error();
        }
        if (!parser.is_done())
            m_socket->armTimeout(m_limits->idleTimeout);
        if (!parser.is_done() && beast::iequals(parser.get()[http::field::expect], "100-continue"))
            error = co_await m_writer.writeContinue();
        if (!error)
            co_await http::async_read(
                m_socket->stream(), m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        m_socket->disarmTimeout();
        co_return error;
    }

    auto Connection::callHandler(HttpRequest request) -> asio::awaitable<Reply>
    {
        m_isResponseDelivered = false;
        m_reply.reset();
        const auto client = std::make_shared<ClientDisconnectNotifier>(weak_from_this());
        try {
            m_environment.handler.handleCancellable(
                client, std::move(request), makeRespond(shared_from_this(), m_environment.server));
        } catch (const std::exception&) {
            // The destructor of the unused OneShotResponder delivers the failure.
        }
        if (!m_isResponseDelivered)
            readAhead(client);
        while (!m_isResponseDelivered)
            co_await m_signal.wait();
        co_await stopReadingAhead();
        if (!m_reply)
            co_return m_environment.handler.failureResponse();
        co_return std::move(*m_reply);
    }

    auto Connection::writeMalformed(const Parser& parser, const Error& cause) -> asio::awaitable<void>
    {
        if (m_socket->hasTimedOut() && !parser.got_some())
            co_return;
        const auto status = m_socket->hasTimedOut() ? http::status::request_timeout : statusFor(cause);
        const auto detail
            = m_socket->hasTimedOut() ? std::string("timed out while receiving the request") : cause.message();
        auto response = m_environment.handler.malformedResponse(status, detail);
        response.keep_alive(false);
        response.prepare_payload();
        if (co_await m_writer.write(response))
            co_await m_writer.discardInput();
    }

    auto Connection::readAhead(std::shared_ptr<ClientDisconnectNotifier> client) -> void
    {
        if (m_buffer.size() + readAheadBytes > m_limits->maximumHeader.value())
            return;
        m_isReadingAhead = true;
        m_socket->stream().async_read_some(m_buffer.prepare(readAheadBytes),
            [self = shared_from_this(), client = std::move(client)](Error error, std::size_t size) {
                self->m_isReadingAhead = false;
                self->m_buffer.commit(size);
                if (self->m_isResponseDelivered)
                    self->m_signal.notify();
                else if (error)
                    client->notifyDisconnect();
                else
                    self->readAhead(client);
            });
    }

    auto Connection::stopReadingAhead() -> asio::awaitable<void>
    {
        if (!m_isReadingAhead)
            co_return;
        m_socket->cancel();
        while (m_isReadingAhead)
            co_await m_signal.wait();
    }

    auto Connection::isClosedByClient() -> bool { return m_socket->peek() == Runtime::PeekResult::Closed; }

    auto Connection::hasInput() -> bool { return m_buffer.size() > 0 || m_socket->hasInput(); }

} // namespace detail

} // namespace HttpServer
