#pragma once

#include "httpserver/bodyframing.h"
#include "httpserver/partreader.h"
#include "httpserver/timedsocket.h"

#include <boost/asio/awaitable.hpp>

namespace HttpServer {

namespace detail {

    /// Writes responses to a connection. Each write fails if the client takes nothing for the idle timeout.
    class ResponseWriter {
    public:
        explicit ResponseWriter(TimedSocket& socket)
            : m_socket(socket)
        {
        }

        auto setIdleTimeout(Core::Millis timeout) -> void { m_idleTimeout = timeout; }

        /// Returns false if the connection is broken.
        auto write(HttpResponse& response) -> boost::asio::awaitable<bool>;
        auto writeHead(HttpResponse& head) -> boost::asio::awaitable<bool>;
        /// Writes a body as its parts arrive. Returns false if it broke off or the connection is broken: the client
        /// must then see that the body is incomplete.
        auto writeBody(const HttpResponse& head, std::shared_ptr<PartReader> body) -> boost::asio::awaitable<bool>;
        auto writeContinue() -> boost::asio::awaitable<boost::system::error_code>;
        /// Reads and discards input for a short time before the connection is closed.
        auto discardInput() -> boost::asio::awaitable<void>;

    private:
        auto writeText(const BodyFraming::Frame& frame, const std::string& part) -> boost::asio::awaitable<bool>;

        TimedSocket& m_socket;
        Core::Millis m_idleTimeout { 0 };
    };

} // namespace detail

} // namespace HttpServer
