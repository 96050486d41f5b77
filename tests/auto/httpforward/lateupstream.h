#pragma once

#include "core/ids.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace HttpForwardTest {

/// Upstream that accepts a connection and reads nothing of the request on it until the test does.
struct LateUpstream {
    /// Size of a request that the buffers of both sockets cannot hold.
    static constexpr std::size_t largeRequest = 32UL * 1024 * 1024;

    [[nodiscard]] auto address() const -> Core::Address
    {
        return Core::Address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    }

    auto accept() -> void { acceptor.accept(socket); }

    /// Waits until the sender has begun to write.
    auto awaitRequest() -> void
    {
        char byte = 0;
        socket.read_some(boost::asio::buffer(&byte, 1));
    }

    /// Waits until the sender's buffer has filled.
    auto waitUntilBlocked() -> void
    {
        for (std::size_t before = 0, available = 1; before != available; available = socket.available()) {
            before = available;
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }

    /// Reads what was delivered, and returns how the connection ended.
    auto readToEnd() -> boost::system::error_code
    {
        boost::system::error_code error;
        std::vector<char> bytes(64UL * 1024);
        while (!error)
            socket.read_some(boost::asio::buffer(bytes), error);
        return error;
    }

    auto answerWith(const std::string& bytes) -> void { boost::asio::write(socket, boost::asio::buffer(bytes)); }
    auto endStream() -> void { socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }

    auto resetConnection() -> void
    {
        socket.set_option(boost::asio::socket_base::linger(true, 0));
        socket.close();
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor { context, { boost::asio::ip::address_v4::loopback(), 0 } };
    boost::asio::ip::tcp::socket socket { context };
};

} // namespace HttpForwardTest
