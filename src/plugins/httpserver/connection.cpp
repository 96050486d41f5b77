#include "httpserver/connection.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace HttpServer {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace detail {

    namespace {

        using Error = boost::system::error_code;

        /// Time for which input is read and discarded before a connection is closed: closing it with unread input
        /// resets it, and the client can lose the response (RFC 9112, section 9.6).
        constexpr Core::Millis discardTime { 500 };
        /// Time that a new connection has for its first request when the server shuts down.
        constexpr Core::Millis firstRequestTime { 500 };
        constexpr std::size_t discardLimit = 4UL * 1024 * 1024;
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

            auto deliver(std::optional<HttpResponse> response) -> void
            {
                if (m_isUsed.exchange(true) || m_server->isDestroyed)
                    return;
                if (const auto connection = m_connection.lock())
                    connection->deliver(std::move(response));
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
        return [responder = std::move(responder)](HttpResponse response) { responder->deliver(std::move(response)); };
    }

    Connection::Connection(Socket socket, Environment environment)
        : m_socket(std::move(socket))
        , m_environment(std::move(environment))
        , m_timeout(m_socket.get_executor())
        , m_signal(m_socket.get_executor())
    {
        Error ignored;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    }

    auto Connection::serve(std::shared_ptr<Connection> self) -> asio::awaitable<void>
    {
        while (co_await self->waitForRequest()) {
            if (!co_await self->serveRequest())
                break;
        }
        Error ignored;
        self->m_socket.shutdown(Socket::shutdown_send, ignored);
        self->m_socket.cancel(ignored);
        self->m_timeout.cancel();
        self->releaseBody();
    }

    auto Connection::refuse(std::shared_ptr<Connection> self) -> asio::awaitable<void>
    {
        self->m_limits = self->m_environment.server->limits.load();
        co_await self->writeOverloaded();
    }

    auto Connection::writeOverloaded() -> asio::awaitable<void>
    {
        auto response = m_environment.handler.overloadedResponse();
        response.keep_alive(false);
        response.prepare_payload();
        (void)co_await write(response);
        co_await discardInput();
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
                self->m_socket.cancel();
            else
                self->armTimeout(firstRequestTime);
        });
    }

    auto Connection::deliver(std::optional<HttpResponse> response) -> void
    {
        asio::post(executor(), [self = shared_from_this(), response = std::move(response)]() mutable {
            self->m_isResponseDelivered = true;
            self->m_response = std::move(response);
            self->m_signal.cancel();
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
        m_limits = m_environment.server->limits.load();
        armTimeout(isShuttingDown ? firstRequestTime : m_limits->idleTimeout);
        Error error;
        // A late event for bytes that have been read already ends the wait as well.
        do
            co_await m_socket.async_wait(Socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        while (!error && peek() == Runtime::PeekResult::Nothing);
        m_isIdle = false;
        co_return !error;
    }

    /// Reads one request and writes its response. Returns true if the connection stays open.
    auto Connection::serveRequest() -> asio::awaitable<bool>
    {
        Parser parser;
        if (const auto error = co_await readRequest(parser)) {
            if (m_hasTimedOut || !isDisconnect(error))
                co_await writeMalformed(parser, error);
            co_return false;
        }
        if (m_isBodyRefused) {
            co_await writeOverloaded();
            co_return false;
        }
        auto request = parser.release();
        const bool keepAlive = request.keep_alive();
        const bool isHead = request.method() == http::verb::head;
        auto& openRequests = m_environment.server->openRequests;
        ++openRequests;
        auto response = co_await callHandler(std::move(request));
        response.keep_alive(keepAlive && !closesAfterResponse());
        if (hasNoBody(response.result()))
            response.body().clear();
        response.prepare_payload();
        if (isHead)
            response.body().clear();
        const bool isWritten = co_await write(response);
        --openRequests;
        releaseBody();
        m_hasServed = true;
        if (isWritten && !response.keep_alive())
            co_await discardInput();
        co_return isWritten&& response.keep_alive();
    }

    auto Connection::readRequest(Parser& parser) -> asio::awaitable<Error>
    {
        m_limits = m_environment.server->limits.load();
        m_buffer.max_size(m_limits->maximumHeader.value() + maximumBufferedBytes);
        parser.header_limit(static_cast<std::uint32_t>(m_limits->maximumHeader.value()));
        parser.body_limit(m_limits->maximumBody.value());
        armTimeout(m_limits->headerTimeout.count() > 0 ? m_limits->headerTimeout : m_limits->idleTimeout);
        Error error;
        co_await http::async_read_header(m_socket, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return error;
        if (hasUnknownTransferCoding(parser.get()))
            co_return http::make_error_code(http::error::bad_transfer_encoding);
        if (!reserveBody(parser)) {
            m_isBodyRefused = true;
            co_return Error();
        }
        if (!parser.is_done())
            armTimeout(m_limits->idleTimeout);
        if (!parser.is_done() && beast::iequals(parser.get()[http::field::expect], "100-continue"))
            error = co_await writeContinue();
        if (!error)
            co_await http::async_read(m_socket, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        m_timeout.cancel();
        co_return error;
    }

    auto Connection::callHandler(HttpRequest request) -> asio::awaitable<HttpResponse>
    {
        m_isResponseDelivered = false;
        m_response.reset();
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
            co_await waitForSignal();
        co_await stopReadingAhead();
        if (!m_response)
            co_return m_environment.handler.failureResponse();
        co_return std::move(*m_response);
    }

    auto Connection::write(HttpResponse& response) -> asio::awaitable<bool>
    {
        armTimeout(m_limits->idleTimeout);
        Error error;
        co_await http::async_write(m_socket, response, asio::redirect_error(asio::use_awaitable, error));
        m_timeout.cancel();
        co_return !error;
    }

    auto Connection::writeContinue() -> asio::awaitable<Error>
    {
        constexpr std::string_view interimResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        Error error;
        co_await asio::async_write(m_socket, asio::buffer(interimResponse.data(), interimResponse.size()),
            asio::redirect_error(asio::use_awaitable, error));
        co_return error;
    }

    auto Connection::writeMalformed(const Parser& parser, const Error& cause) -> asio::awaitable<void>
    {
        if (m_hasTimedOut && !parser.got_some())
            co_return;
        const auto status = m_hasTimedOut ? http::status::request_timeout : statusFor(cause);
        const auto detail = m_hasTimedOut ? std::string("timed out while receiving the request") : cause.message();
        auto response = m_environment.handler.malformedResponse(status, detail);
        response.keep_alive(false);
        response.prepare_payload();
        if (co_await write(response))
            co_await discardInput();
    }

    auto Connection::discardInput() -> asio::awaitable<void>
    {
        Error error;
        m_socket.shutdown(Socket::shutdown_send, error);
        armTimeout(discardTime);
        std::array<char, 4096> bytes {};
        std::size_t discarded = 0;
        while (!error && discarded < discardLimit)
            discarded += co_await m_socket.async_read_some(
                asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        m_timeout.cancel();
    }

    auto Connection::armTimeout(Core::Duration timeout) -> void
    {
        m_hasTimedOut = false;
        const auto generation = ++m_timeoutGeneration;
        m_timeout.expires_after(timeout);
        m_timeout.async_wait([self = shared_from_this(), generation](Error error) {
            if (error || generation != self->m_timeoutGeneration)
                return;
            self->m_hasTimedOut = true;
            Error ignored;
            self->m_socket.cancel(ignored);
        });
    }

    auto Connection::readAhead(std::shared_ptr<ClientDisconnectNotifier> client) -> void
    {
        if (m_buffer.size() + readAheadBytes > m_limits->maximumHeader.value())
            return;
        m_isReadingAhead = true;
        m_socket.async_read_some(m_buffer.prepare(readAheadBytes),
            [self = shared_from_this(), client = std::move(client)](Error error, std::size_t size) {
                self->m_isReadingAhead = false;
                self->m_buffer.commit(size);
                if (self->m_isResponseDelivered)
                    self->m_signal.cancel();
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
        Error ignored;
        m_socket.cancel(ignored);
        while (m_isReadingAhead)
            co_await waitForSignal();
    }

    auto Connection::waitForSignal() -> asio::awaitable<void>
    {
        Error ignored;
        m_signal.expires_at(asio::steady_timer::time_point::max());
        co_await m_signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    auto Connection::isClosedByClient() -> bool { return peek() == Runtime::PeekResult::Closed; }

    auto Connection::peek() -> Runtime::PeekResult { return Runtime::peek(m_socket.native_handle()); }

    auto Connection::closesAfterResponse() const -> bool
    {
        return m_environment.server->isShuttingDown || m_environment.server->isDraining;
    }

    auto Connection::hasInput() -> bool
    {
        Error ignored;
        return m_buffer.size() > 0 || m_socket.available(ignored) > 0;
    }

} // namespace detail

} // namespace HttpServer
