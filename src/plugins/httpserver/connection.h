#pragma once

#include "httpserver/httpserver.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <mutex>
#include <optional>

namespace HttpServer {

namespace detail {

    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
    using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;

    /// What a server and its connections share.
    struct ServerState {
        /// The server answers what comes, and ends connections with the answers.
        std::atomic<bool> isDraining { false };
        std::atomic<std::size_t> openRequests { 0 };
        /// Bytes set aside for bodies that are read or answered.
        std::atomic<std::uint64_t> bodyBytes { 0 };
        std::atomic<std::shared_ptr<const Limits>> limits;
        std::atomic<bool> isShuttingDown { false };
        /// The server was destroyed; nothing may be posted to its connections.
        std::atomic<bool> isDestroyed { false };
    };

    /// Tells once that the client of a request has gone.
    class Presence : public ClientPresence {
    public:
        auto onGone(std::function<void()> callback) -> void override;
        auto announceGone() -> void;

    private:
        std::mutex m_mutex;
        bool m_isGone = false;
        std::function<void()> m_callback;
    };

    /// One connection of a client. Its coroutine and all its handlers run on the socket's strand.
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        struct Environment {
            HttpHandler& handler;
            std::shared_ptr<ServerState> server;
        };

        Connection(Socket socket, Environment environment);

        /// Serves requests until the connection ends.
        static auto serve(std::shared_ptr<Connection> self) -> boost::asio::awaitable<void>;
        /// Tells the client that there are too many connections.
        static auto refuse(std::shared_ptr<Connection> self) -> boost::asio::awaitable<void>;

        /// Ends the connection unless a request has begun to arrive. Called from any thread.
        auto stopWhenIdle() -> void;
        /// Hands the response to the request in flight, or none when the handler failed. Called from any thread.
        auto deliver(std::optional<HttpResponse> response) -> void;

        [[nodiscard]] auto executor() -> Strand { return m_socket.get_executor(); }

    private:
        using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

        auto waitForRequest() -> boost::asio::awaitable<bool>;
        auto serveOne() -> boost::asio::awaitable<bool>;
        auto readRequest(Parser& parser) -> boost::asio::awaitable<boost::system::error_code>;
        /// Sets bytes aside for the body that follows; false when too many are in use.
        auto reserveBody(Parser& parser) -> bool;
        auto releaseBody() -> void;
        auto writeOverloaded() -> boost::asio::awaitable<void>;
        auto ask(HttpRequest request) -> boost::asio::awaitable<HttpResponse>;
        auto write(HttpResponse& response) -> boost::asio::awaitable<bool>;
        auto writeContinue() -> boost::asio::awaitable<boost::system::error_code>;
        auto writeMalformed(const Parser& parser, const boost::system::error_code& cause)
            -> boost::asio::awaitable<void>;
        auto discardInput() -> boost::asio::awaitable<void>;
        auto armTimeout(Core::Duration timeout) -> void;
        auto hasInput() -> bool;
        /// Watches for the client's leaving until the request in flight is answered.
        auto watchClient(std::shared_ptr<Presence> client) -> void;
        [[nodiscard]] auto endsAfterAnswer() const -> bool;

        Socket m_socket;
        Environment m_environment;
        boost::beast::flat_buffer m_buffer;
        boost::asio::steady_timer m_timeout;
        std::uint64_t m_timeoutGeneration = 0;
        bool m_hasTimedOut = false;
        bool m_isIdle = false;
        /// Cancelled when the response to the request in flight is there.
        boost::asio::steady_timer m_responseArrival;
        bool m_isAnswered = false;
        /// Counts the requests of this connection; a watch of an earlier one does nothing.
        std::uint64_t m_requestNumber = 0;
        std::uint64_t m_reservedBytes = 0;
        bool m_isBodyRefused = false;
        std::shared_ptr<const Limits> m_limits;
        std::optional<HttpResponse> m_response;
    };

    /// Respond function that delivers once, and delivers a failure when all its copies are gone unused.
    auto makeRespond(const std::shared_ptr<Connection>& connection, std::shared_ptr<const ServerState> server)
        -> HttpHandler::Respond;

} // namespace detail

} // namespace HttpServer
