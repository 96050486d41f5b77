#pragma once

#include "core/sharded.h"
#include "peerstream/trafficcounters.h"
#include "ports/causalclock.h"
#include "ports/peertransport.h"
#include "ports/scheduler.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <unordered_map>

namespace PeerStream {

class ClientConnection;

/// Sends messages to other entry VMs over one HTTP/2 connection per entry VM.
class PeerStreamClient : public Ports::PeerTransport {
public:
    /// If a clock is given, each message carries a timestamp from it.
    PeerStreamClient(boost::asio::io_context& context, TrafficCounters& traffic, Ports::CausalClock* clock = nullptr);
    ~PeerStreamClient() override;

    auto call(const Core::Address& peer, Ports::PeerMessage message, Core::Duration timeout, ReplyCallback callback)
        -> void override;
    /// Closes connections that have been idle too long. Must be called every few seconds.
    auto closeIdleConnections() -> void;

private:
    using Connections = std::unordered_map<Core::Address, std::shared_ptr<ClientConnection>>;

    auto connectionTo(const Core::Address& peer) -> std::shared_ptr<ClientConnection>;

    boost::asio::io_context& m_context;
    TrafficCounters& m_traffic;
    Ports::CausalClock* m_clock;
    Core::Sharded<Connections> m_connections;
};

} // namespace PeerStream
