#pragma once

#include "peerstream/h2session.h"
#include "peerstream/handlertable.h"
#include "peerstream/hopclock.h"

#include <functional>

namespace PeerStream {

/// Server end of one connection from another entry VM.
class ServerConnection : public H2Session {
public:
    using ClosedCallback = std::function<void(const std::shared_ptr<ServerConnection>&)>;

    ServerConnection(
        Socket socket, const HandlerTable& handlers, Traffic& traffic, HopClock clock, ClosedCallback onClosed);

    auto start() -> void;
    /// Takes no further message, answers those that are open, and then closes.
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
    auto closeIfDone() -> void;

    const HandlerTable& m_handlers;
    HopClock m_clock;
    ClosedCallback m_onClosed;
    std::map<StreamId, Ports::PeerMessage> m_messages;
    bool m_isShuttingDown = false;
};

} // namespace PeerStream
