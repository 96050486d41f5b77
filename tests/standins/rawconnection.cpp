#include "standins/rawconnection.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

namespace StandIns {

namespace {

    namespace asio = boost::asio;
    constexpr timeval readTimeout { 15, 0 };

} // namespace

RawConnection::RawConnection(std::uint16_t port)
{
    m_socket.connect({ asio::ip::address_v4::loopback(), port });
    ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &readTimeout, sizeof readTimeout);
}

auto RawConnection::send(const std::string& bytes) -> void
{
    boost::system::error_code ignored;
    asio::write(m_socket, asio::buffer(bytes), ignored);
}

auto RawConnection::shutdownSend() -> void
{
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

auto RawConnection::readToEnd() -> std::string
{
    std::string received;
    while (readSome(received)) { }
    return received;
}

auto RawConnection::readUntil(const std::string& text) -> std::string
{
    std::string received;
    while (received.find(text) == std::string::npos && readSome(received)) { }
    return received;
}

auto RawConnection::close() -> void { m_socket.close(); }

auto RawConnection::readSome(std::string& received) -> bool
{
    std::array<char, 4096> buffer {};
    const auto count = ::recv(m_socket.native_handle(), buffer.data(), buffer.size(), 0);
    if (count > 0)
        received.append(buffer.data(), static_cast<std::size_t>(count));
    return count > 0;
}

} // namespace StandIns
