#include "httpserver/timedsocket.h"

namespace HttpServer {

namespace asio = boost::asio;
using Error = boost::system::error_code;

namespace detail {

    TimedSocket::TimedSocket(Socket socket)
        : m_socket(std::move(socket))
        , m_timeout(m_socket.get_executor())
    {
        Error ignored;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        m_socket.non_blocking(true, ignored);
    }

    auto TimedSocket::armTimeout(Core::Duration timeout) -> void
    {
        m_hasTimedOut = false;
        const auto generation = ++m_timeoutGeneration;
        m_timeout.expires_after(timeout);
        m_timeout.async_wait([self = shared_from_this(), generation](Error error) {
            if (error || generation != self->m_timeoutGeneration)
                return;
            self->m_hasTimedOut = true;
            self->cancel();
        });
    }

    auto TimedSocket::disarmTimeout() -> void
    {
        // A timeout that has passed but was not handled yet must not end the next operation.
        ++m_timeoutGeneration;
        m_timeout.cancel();
    }

    auto TimedSocket::cancel() -> void
    {
        Error ignored;
        m_socket.cancel(ignored);
    }

    auto TimedSocket::shutDownSending() -> void
    {
        Error ignored;
        m_socket.shutdown(Socket::shutdown_send, ignored);
    }

    auto TimedSocket::reset() -> void
    {
        Error ignored;
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

    auto TimedSocket::hasInput() const -> bool
    {
        Error ignored;
        return m_socket.available(ignored) > 0;
    }

} // namespace detail

} // namespace HttpServer
