#pragma once

#include "core/ids.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace StandIns {

/// Blocking TCP connection to a local port, for sending arbitrary bytes. Reads time out after 15 s.
class RawConnection {
public:
    explicit RawConnection(std::uint16_t port);

    /// Ignores errors, because the server may have closed the connection.
    auto send(const std::string& bytes) -> void;
    /// Shuts down the sending side of the connection.
    auto shutdownSend() -> void;
    /// Reads and returns everything that the server sends until it closes the connection.
    auto readToEnd() -> std::string;
    /// Reads until the given text has arrived. Returns everything that this call has read.
    auto readUntil(const std::string& text) -> std::string;
    auto close() -> void;

private:
    auto readSome(std::string& received) -> bool;

    std::unique_ptr<boost::asio::io_context> m_context = std::make_unique<boost::asio::io_context>();
    boost::asio::ip::tcp::socket m_socket { *m_context };
};

} // namespace StandIns
