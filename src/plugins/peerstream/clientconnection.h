#pragma once

#include "peerstream/h2session.h"
#include "peerstream/hopclock.h"
#include "ports/peertransport.h"

#include <atomic>
#include <deque>

namespace PeerStream {

/// Client end of one connection to another entry VM; carries many calls at the same time.
class ClientConnection : public H2Session {
public:
    ClientConnection(boost::asio::io_context& context, Core::Address peer, Traffic& traffic, HopClock clock);

    /// Connects on the first call. Calls back exactly once, on the connection's strand.
    auto call(Ports::PeerMessage message, Core::Duration timeout, Ports::PeerTransport::ReplyCallback callback) -> void;
    /// No further call can be made; a new connection is needed.
    [[nodiscard]] auto isFinished() const -> bool { return m_isFinished; }
    /// Closes the connection when no call is open and none was made for the given time.
    auto closeIfIdle(std::chrono::steady_clock::duration idleTime) -> void;

protected:
    auto onHeader(StreamId stream, std::string_view name, std::string_view value) -> void override;
    auto onData(StreamId stream, std::string_view data) -> void override;
    auto onMessageEnd(StreamId stream) -> void override;
    auto onHeadersSent(StreamId stream) -> void override;
    auto onStreamClosed(StreamId stream, bool isRefused) -> void override;
    auto onDisconnected(const std::string& reason) -> void override;
    [[nodiscard]] auto openStreamCount() const -> std::size_t override { return m_calls.size(); }

private:
    struct PendingCall {
        Ports::PeerMessage message;
        std::chrono::steady_clock::time_point deadline;
        Ports::PeerTransport::ReplyCallback callback;
    };
    struct OpenCall {
        Ports::PeerTransport::ReplyCallback callback;
        std::chrono::steady_clock::time_point deadline;
        bool isSent = false;
        bool isOk = false;
        Core::Error error;
        std::string payload;
    };

    auto self() -> std::shared_ptr<ClientConnection>;
    auto connect() -> void;
    auto onConnected() -> void;
    auto open(PendingCall pending) -> void;
    auto finish(StreamId stream, Core::Result<std::string> result) -> void;
    auto watchDeadline(std::chrono::steady_clock::time_point deadline) -> void;
    [[nodiscard]] auto earliestDeadline() const -> std::chrono::steady_clock::time_point;
    auto expireCalls() -> void;
    auto expirePending() -> void;

    Core::Address m_peer;
    HopClock m_clock;
    std::deque<PendingCall> m_pending;
    std::map<StreamId, OpenCall> m_calls;
    boost::asio::steady_timer m_connectTimer;
    boost::asio::steady_timer m_deadlineTimer;
    std::chrono::steady_clock::time_point m_timerTarget = std::chrono::steady_clock::time_point::max();
    std::chrono::steady_clock::time_point m_lastCall = std::chrono::steady_clock::now();
    bool m_isConnecting = false;
    bool m_isConnected = false;
    std::atomic<bool> m_isFinished { false };
};

} // namespace PeerStream
