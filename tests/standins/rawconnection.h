#pragma once

#include "core/ids.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace StandIns {

/// Connection on which a test sends any bytes. Calls block; reads end after 15 s at the latest.
class RawConnection {
public:
    explicit RawConnection(std::uint16_t port);

    /// Errors are ignored: the server may have closed the connection.
    auto send(const std::string& bytes) -> void;
    /// Tells the server that no more bytes follow.
    auto finishSending() -> void;
    /// Everything that the server sends before it closes the connection.
    auto readToEnd() -> std::string;
    /// Reads until the text has arrived, and returns everything read by this call.
    auto readUntil(const std::string& text) -> std::string;
    auto close() -> void;

private:
    auto readSome(std::string& received) -> bool;

    std::unique_ptr<boost::asio::io_context> m_context = std::make_unique<boost::asio::io_context>();
    boost::asio::ip::tcp::socket m_socket { *m_context };
};

} // namespace StandIns
