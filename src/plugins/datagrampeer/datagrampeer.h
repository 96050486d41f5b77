#pragma once

#include "core/error.h"
#include "entryfleet/entryvmentry.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace DatagramPeer {

/// Sends and receives heartbeats as UDP datagrams of CBOR.
class DatagramPeer : public EntryFleet::HeartbeatPort {
public:
    using Receiver = std::function<void(const EntryFleet::Heartbeat&)>;

    /// Throws boost::system::system_error when the address cannot be bound.
    DatagramPeer(boost::asio::io_context& context, const Core::Address& address);
    ~DatagramPeer() override;

    /// Calls the receiver for each heartbeat that arrives; malformed ones are dropped and counted.
    auto start(Receiver receiver) -> void;
    auto send(const Core::Address& to, const EntryFleet::Heartbeat& heartbeat) -> void override;
    [[nodiscard]] auto malformedCount() const -> std::uint64_t;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

auto encodeHeartbeat(const EntryFleet::Heartbeat& heartbeat) -> std::string;
auto decodeHeartbeat(const std::string& payload) -> Core::Result<EntryFleet::Heartbeat>;

} // namespace DatagramPeer
