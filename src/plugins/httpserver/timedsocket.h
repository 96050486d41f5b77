#pragma once

#include "core/units.h"
#include "runtime/socketstate.h"

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <memory>

namespace HttpServer {

namespace detail {

    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
    using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;

    /// Non-blocking socket of a connection, with one timeout that ends all its asynchronous operations. Used on the
    /// socket's strand only, except for peek(), isClosedByClient() and executor().
    class TimedSocket : public std::enable_shared_from_this<TimedSocket> {
    public:
        explicit TimedSocket(Socket socket);

        [[nodiscard]] auto stream() -> Socket& { return m_socket; }
        [[nodiscard]] auto executor() -> Strand { return m_socket.get_executor(); }
        auto armTimeout(Core::Duration timeout) -> void;
        auto disarmTimeout() -> void;
        /// Returns true if the timeout has passed since it was armed last.
        [[nodiscard]] auto hasTimedOut() const -> bool { return m_hasTimedOut; }
        /// Ends the operations in progress.
        auto cancel() -> void;
        auto shutDownSending() -> void;
        /// Closes the socket such that the client sees an error in place of the end of the stream.
        auto reset() -> void;
        [[nodiscard]] auto peek() -> Runtime::PeekResult { return Runtime::peek(m_socket.native_handle()); }
        /// Returns true if the client has closed the connection, whatever waits to be read from it.
        [[nodiscard]] auto isClosedByClient() -> bool { return Runtime::hasPeerClosed(m_socket.native_handle()); }
        [[nodiscard]] auto hasInput() const -> bool;

    private:
        Socket m_socket;
        boost::asio::steady_timer m_timeout;
        std::uint64_t m_timeoutGeneration = 0;
        bool m_hasTimedOut = false;
    };

} // namespace detail

} // namespace HttpServer
