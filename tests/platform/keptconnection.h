#pragma once

#include "core/ids.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <optional>
#include <string>
#include <vector>

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
    /// Sends idempotent requests at once and waits for their answers. Returns the statuses of those that arrived, which
    /// are answers to the first ones. If the entry VM can't be reached, isReachable is set to false.
    auto sendPipelined(const std::vector<std::string>& ids, bool& isReachable) -> std::vector<int>;

private:
    auto connect() -> bool;
    /// Reads the next answer, and closes the connection if it is the last. Returns std::nullopt if there is none.
    auto readStatus(const std::string& id) -> std::optional<int>;

    boost::asio::io_context m_context;
    const boost::asio::ip::tcp::endpoint m_server;
    boost::asio::ip::tcp::socket m_socket { m_context };
    boost::beast::flat_buffer m_buffer;
};

} // namespace PlatformTest
