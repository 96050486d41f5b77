#pragma once

#include "peerstream/clockpropagator.h"
#include "peerstream/h2session.h"
#include "peerstream/handlertable.h"

#include <functional>

namespace PeerStream {

/// Server side of one connection from another entry VM.
class ServerConnection : public H2Session {
public:
    using ClosedCallback = std::function<void(const std::shared_ptr<ServerConnection>&)>;

    ServerConnection(Socket socket, const HandlerTable& handlers, TrafficCounters& traffic, ClockPropagator clock,
        ClosedCallback onClosed);

    auto start() -> void;
    /// Stops accepting messages, answers the pending ones, and then closes the connection.
    auto shutDown() -> void;

protected:
    auto onHeader(StreamId stream, std::string_view name, std::string_view value) -> void override;
    auto onData(StreamId stream, std::string_view data) -> void override;
    auto onMessageEnd(StreamId stream) -> void override;
    auto onHeadersSent(StreamId stream) -> void override;
    auto onStreamClosed(StreamId stream, bool isRefused) -> void override;
    auto onDisconnected(const std::string& reason) -> void override;
    [[nodiscard]] auto openStreamCount() const -> std::size_t override { return 0; }

private:
    auto self() -> std::shared_ptr<ServerConnection>;
    auto respond(StreamId stream, Core::Result<std::string> result) -> void;
    auto closeIfAllAnswered() -> void;

    const HandlerTable& m_handlers;
    ClockPropagator m_clock;
    ClosedCallback m_onClosed;
    std::map<StreamId, Ports::PeerMessage> m_messages;
    bool m_isShuttingDown = false;
};

} // namespace PeerStream
