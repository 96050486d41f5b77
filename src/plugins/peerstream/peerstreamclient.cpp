#include "peerstream/peerstreamclient.h"

#include "peerstream/clientconnection.h"
#include "peerstream/messageformat.h"

namespace PeerStream {

namespace {

    constexpr auto idleTime = std::chrono::seconds(120);

} // namespace

PeerStreamClient::PeerStreamClient(
    boost::asio::io_context& context, TrafficCounters& traffic, Ports::CausalClock* clock)
    : m_context(context)
    , m_traffic(traffic)
    , m_clock(clock)
{
}

PeerStreamClient::~PeerStreamClient() = default;

auto PeerStreamClient::call(
    const Core::Address& peer, Ports::PeerMessage message, Core::Duration timeout, ReplyCallback callback) -> void
{
    if (message.payload.size() > maximumPayloadBytes) {
        callback(Core::fail(Core::ErrorKind::TooLarge, "the message to another entry VM is too large",
            "send at most " + std::to_string(maximumPayloadBytes) + " bytes"));
        return;
    }
    connectionTo(peer)->call(std::move(message), timeout, std::move(callback));
}

auto PeerStreamClient::closeIdleConnections() -> void
{
    m_connections.forEach([](Connections& connections) {
        std::erase_if(connections, [](const auto& entry) { return entry.second->isFinished(); });
        for (const auto& [address, connection] : connections)
            connection->closeIfIdle(idleTime);
    });
}

auto PeerStreamClient::connectionTo(const Core::Address& peer) -> std::shared_ptr<ClientConnection>
{
    return m_connections.with(peer, [&](Connections& connections) {
        auto& connection = connections[peer];
        if (!connection || connection->isFinished())
            connection = std::make_shared<ClientConnection>(m_context, peer, m_traffic, ClockPropagator(m_clock));
        return connection;
    });
}

} // namespace PeerStream
