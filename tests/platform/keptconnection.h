#pragma once

#include "core/ids.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace PlatformTest {

/// Caller that sends one request after the other on a connection and opens a new one when the server closes it.
class KeptConnection {
public:
    enum class End {
        Answered,
        /// The connection ended before an answer began.
        NoAnswer,
        /// No connection could be opened.
        Unreachable,
    };

    explicit KeptConnection(const Core::Address& server);

    /// Sends the request of a booking and waits for its answer. Sets status if it arrives.
    auto send(const std::string& id, int& status) -> End;

private:
    auto connect() -> bool;

    boost::asio::io_context m_context;
    const boost::asio::ip::tcp::endpoint m_server;
    boost::asio::ip::tcp::socket m_socket { m_context };
    boost::beast::flat_buffer m_buffer;
};

} // namespace PlatformTest
