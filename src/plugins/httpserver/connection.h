#pragma once

#include "httpserver/answerqueue.h"
#include "httpserver/replywriter.h"
#include "httpserver/requestreader.h"
#include "runtime/strandevent.h"

namespace HttpServer {

namespace detail {

    /// Connection of one client. Its coroutine reads a request when no other is open, and writes the responses in the
    /// order of the requests; requests that may overlap are started as soon as they were read ahead. All this runs on
    /// the socket's strand.
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
        /// Sets the reply to a request; std::nullopt means that the handler failed. Thread-safe.
        auto deliver(std::weak_ptr<PendingAnswer> answer, std::optional<Reply> reply) -> void;

        /// Returns true if the client has closed the connection, also if requests wait unread. Thread-safe.
        [[nodiscard]] auto isClosedByClient() -> bool { return m_socket->isClosedByClient(); }

        [[nodiscard]] auto executor() -> Strand { return m_socket->executor(); }

    private:
        using Parser = RequestReader::Parser;

        auto loadLimits() -> void;
        auto waitForRequest() -> boost::asio::awaitable<bool>;
        /// Reads a request, and writes responses until no request is open. Returns true if the connection stays open.
        auto serveRequests() -> boost::asio::awaitable<bool>;
        auto start(HttpRequest request, bool mayOverlap) -> void;
        /// Starts the requests that were read ahead and may overlap those that are open, and reads on.
        auto startFollowing() -> void;
        auto handleInput(bool isOpen) -> void;
        auto answerFirst() -> boost::asio::awaitable<bool>;
        auto writeOverloaded() -> boost::asio::awaitable<void>;
        auto writeMalformed(const Parser& parser, const boost::system::error_code& cause)
            -> boost::asio::awaitable<void>;
        /// Writes a response of the server itself and closes the connection.
        auto writeLast(HttpResponse& response) -> boost::asio::awaitable<void>;

        const std::shared_ptr<TimedSocket> m_socket;
        Environment m_environment;
        const Core::ConnectionNumber m_number;
        /// Number of requests that were read.
        std::uint64_t m_requests = 0;
        ResponseWriter m_writer;
        ReplyWriter m_replies;
        RequestReader m_reader;
        AnswerQueue m_answers;
        std::shared_ptr<const Limits> m_limits;
        /// Tells the coroutine that a reply was delivered.
        Runtime::StrandEvent m_delivered;
        bool m_isIdle = false;
        bool m_hasServed = false;
        /// No further request is started, because the connection closes behind the open ones.
        bool m_isClosing = false;
    };

    /// Returns a function that delivers the reply on its first call, and a failure if all its copies are destroyed
    /// without a call.
    auto makeRespond(const std::shared_ptr<Connection>& connection, std::weak_ptr<PendingAnswer> answer,
        std::shared_ptr<const ServerState> server) -> HttpHandler::Respond;

} // namespace detail

} // namespace HttpServer
