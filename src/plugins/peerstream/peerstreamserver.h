#pragma once

#include "peerstream/handlertable.h"
#include "peerstream/trafficcounters.h"
#include "ports/causalclock.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace PeerStream {

/// Accepts messages from other entry VMs on one listening socket.
class PeerStreamServer {
public:
    /// Starts listening immediately. Throws boost::system::system_error if the address cannot be bound.
    /// If a clock is given, each response carries a timestamp from it.
    PeerStreamServer(boost::asio::io_context& context, const Core::Address& address, const HandlerTable& handlers,
        TrafficCounters& traffic, Ports::CausalClock* clock = nullptr);
    ~PeerStreamServer();

    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Stops accepting messages and calls back after all pending messages have been answered.
    auto shutDown(std::function<void()> done) -> void;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace PeerStream
