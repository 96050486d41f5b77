#pragma once

#include "core/error.h"
#include "entryfleet/entryvmentry.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace DatagramPeer {

/// Sends and receives heartbeats as CBOR-encoded UDP datagrams.
class DatagramPeer : public EntryFleet::HeartbeatPort {
public:
    using HeartbeatCallback = std::function<void(const EntryFleet::Heartbeat&)>;

    /// Throws boost::system::system_error if the address cannot be bound.
    DatagramPeer(boost::asio::io_context& context, const Core::Address& address);
    ~DatagramPeer() override;

    /// Calls the callback for each received heartbeat. Malformed heartbeats are dropped and counted.
    auto start(HeartbeatCallback callback) -> void;
    auto send(const Core::Address& to, const EntryFleet::Heartbeat& heartbeat) -> void override;
    [[nodiscard]] auto malformedCount() const -> std::uint64_t;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

auto encodeHeartbeat(const EntryFleet::Heartbeat& heartbeat) -> std::string;
auto decodeHeartbeat(const std::string& payload) -> Core::Result<EntryFleet::Heartbeat>;

} // namespace DatagramPeer
