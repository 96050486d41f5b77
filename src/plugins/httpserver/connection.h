#pragma once

#include "httpserver/clientdisconnectnotifier.h"
#include "httpserver/responsewriter.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace HttpServer {

namespace detail {

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
        auto deliver(std::optional<Reply> reply) -> void;

        /// Returns true if the client has closed the connection and everything that it sent has been read. Thread-safe.
        [[nodiscard]] auto isClosedByClient() -> bool;

        [[nodiscard]] auto executor() -> Strand { return m_socket->executor(); }

    private:
        /// What the response depends on.
        struct RequestTraits {
            bool isHead = false;
            bool keepsAlive = false;
            bool takesChunks = false;
        };
        using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

        auto waitForRequest() -> boost::asio::awaitable<bool>;
        auto loadLimits() -> void;
        auto serveRequest() -> boost::asio::awaitable<bool>;
        auto readRequest(Parser& parser) -> boost::asio::awaitable<boost::system::error_code>;
        /// Reserves part of maximumBodyTotal for the body that follows. Returns false if too little is left.
        auto reserveBody(Parser& parser) -> bool;
        auto releaseBody() -> void;
        auto writeOverloaded() -> boost::asio::awaitable<void>;
        auto callHandler(HttpRequest request) -> boost::asio::awaitable<Reply>;
        /// Writes the response to the request. Returns true if it is complete.
        auto writeReply(Reply& reply, const RequestTraits& request) -> boost::asio::awaitable<bool>;
        auto writeWhole(HttpResponse& response, const RequestTraits& request) -> boost::asio::awaitable<bool>;
        auto writeStreamed(StreamedResponse& response, const RequestTraits& request) -> boost::asio::awaitable<bool>;
        auto writeMalformed(const Parser& parser, const boost::system::error_code& cause)
            -> boost::asio::awaitable<void>;
        auto hasInput() -> bool;
        /// Reads what the client sends while its request is in flight, up to a limit, and notifies if it disconnects.
        auto readAhead(std::shared_ptr<ClientDisconnectNotifier> client) -> void;
        auto stopReadingAhead() -> boost::asio::awaitable<void>;

        const std::shared_ptr<TimedSocket> m_socket;
        ResponseWriter m_writer;
        Environment m_environment;
        boost::beast::flat_buffer m_buffer;
        bool m_isIdle = false;
        bool m_hasServed = false;
        Signal m_signal;
        bool m_isResponseDelivered = false;
        bool m_isReadingAhead = false;
        std::uint64_t m_reservedBytes = 0;
        bool m_isBodyRefused = false;
        std::shared_ptr<const Limits> m_limits;
        std::optional<Reply> m_reply;
    };

    /// Returns a function that delivers the response on its first call, and a failure if all its copies are destroyed
    /// without a call.
    auto makeRespond(const std::shared_ptr<Connection>& connection, std::shared_ptr<const ServerState> server)
        -> HttpHandler::Respond;

} // namespace detail

} // namespace HttpServer
