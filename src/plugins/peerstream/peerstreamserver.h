#pragma once

#include "peerstream/handlertable.h"
#include "peerstream/traffic.h"
#include "ports/causalclock.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace PeerStream {

/// Takes messages from other entry VMs on one listening socket.
class PeerStreamServer {
public:
    /// Listens at once. Throws boost::system::system_error when the address cannot be bound.
    /// The clock, if any, is carried with each message.
    PeerStreamServer(boost::asio::io_context& context, const Core::Address& address, const HandlerTable& handlers,
        Traffic& traffic, Ports::CausalClock* clock = nullptr);
    ~PeerStreamServer();

    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Accepts no more messages, and calls back when those that are open were answered.
    auto shutDown(std::function<void()> done) -> void;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace PeerStream
