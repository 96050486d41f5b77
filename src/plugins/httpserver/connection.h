#pragma once

#include "httpserver/clientdisconnectnotifier.h"
#include "runtime/socketpeek.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace HttpServer {

namespace detail {

    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
    using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;

    /// State shared by a server and its connections.
    struct ServerState {
        /// The server still serves requests, and closes each connection after the response.
        std::atomic<bool> isDraining { false };
        std::atomic<std::size_t> openRequests { 0 };
        /// Total size reserved for the bodies of requests in flight.
        std::atomic<std::uint64_t> reservedBodyBytes { 0 };
        std::atomic<std::shared_ptr<const Limits>> limits;
        std::atomic<bool> isShuttingDown { false };
        /// The server was destroyed; nothing may be posted to its connections any more.
        std::atomic<bool> isDestroyed { false };
    };

    /// Connection of one client. Its coroutine and all its completion handlers run on the socket's strand.
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        struct Environment {
            HttpHandler& handler;
            std::shared_ptr<ServerState> server;
        };

        Connection(Socket socket, Environment environment);

        /// Serves requests until the connection closes.
        static auto serve(std::shared_ptr<Connection> self) -> boost::asio::awaitable<void>;
        /// Writes the overloaded response and closes the connection.
        static auto refuse(std::shared_ptr<Connection> self) -> boost::asio::awaitable<void>;

        /// Closes the connection unless a request has begun to arrive. A connection that has not served any waits a
        /// little longer for its first. Thread-safe.
        auto closeIfIdle() -> void;
        /// Sets the response to the request in flight; std::nullopt means that the handler failed. Thread-safe.
        auto deliver(std::optional<HttpResponse> response) -> void;

        /// Returns true if the client has closed the connection and everything that it sent has been read. Thread-safe.
        [[nodiscard]] auto isClosedByClient() -> bool;

        [[nodiscard]] auto executor() -> Strand { return m_socket.get_executor(); }

    private:
        using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

        auto waitForRequest() -> boost::asio::awaitable<bool>;
        auto serveRequest() -> boost::asio::awaitable<bool>;
        auto readRequest(Parser& parser) -> boost::asio::awaitable<boost::system::error_code>;
        /// Reserves part of maximumBodyTotal for the body that follows. Returns false if too little is left.
        auto reserveBody(Parser& parser) -> bool;
        auto releaseBody() -> void;
        auto writeOverloaded() -> boost::asio::awaitable<void>;
        auto callHandler(HttpRequest request) -> boost::asio::awaitable<HttpResponse>;
        auto write(HttpResponse& response) -> boost::asio::awaitable<bool>;
        auto writeContinue() -> boost::asio::awaitable<boost::system::error_code>;
        auto writeMalformed(const Parser& parser, const boost::system::error_code& cause)
            -> boost::asio::awaitable<void>;
        auto discardInput() -> boost::asio::awaitable<void>;
        auto armTimeout(Core::Duration timeout) -> void;
        auto hasInput() -> bool;
        auto peek() -> Runtime::PeekResult;
        /// Reads what the client sends while its request is in flight, up to a limit, and notifies if it disconnects.
        auto readAhead(std::shared_ptr<ClientDisconnectNotifier> client) -> void;
        auto stopReadingAhead() -> boost::asio::awaitable<void>;
        /// Suspends the coroutine until deliver() or the end of the reading ahead resumes it.
        auto waitForSignal() -> boost::asio::awaitable<void>;
        [[nodiscard]] auto closesAfterResponse() const -> bool;

        Socket m_socket;
        Environment m_environment;
        boost::beast::flat_buffer m_buffer;
        boost::asio::steady_timer m_timeout;
        std::uint64_t m_timeoutGeneration = 0;
        bool m_hasTimedOut = false;
        bool m_isIdle = false;
        bool m_hasServed = false;
        /// Cancelled to resume the coroutine.
        boost::asio::steady_timer m_signal;
        bool m_isResponseDelivered = false;
        bool m_isReadingAhead = false;
        std::uint64_t m_reservedBytes = 0;
        bool m_isBodyRefused = false;
        std::shared_ptr<const Limits> m_limits;
        std::optional<HttpResponse> m_response;
    };

    /// Returns a function that delivers the response on its first call, and a failure if all its copies are destroyed
    /// without a call.
    auto makeRespond(const std::shared_ptr<Connection>& connection, std::shared_ptr<const ServerState> server)
        -> HttpHandler::Respond;

} // namespace detail

} // namespace HttpServer
