#pragma once

#include "peerstream/clockpropagator.h"
#include "peerstream/h2session.h"
#include "ports/peertransport.h"

#include <atomic>
#include <deque>

namespace PeerStream {

/// Client side of one connection to another entry VM. Multiplexes concurrent calls as HTTP/2 streams.
class ClientConnection : public H2Session {
public:
    ClientConnection(
        boost::asio::io_context& context, Core::Address peer, TrafficCounters& traffic, ClockPropagator clock);

    /// Sends a message, connecting first if necessary. Calls back exactly once, on the connection's strand.
    auto call(Ports::PeerMessage message, Core::Duration timeout, Ports::PeerTransport::ReplyCallback callback) -> void;
    /// Returns true if the connection accepts no further calls and must be replaced.
    [[nodiscard]] auto isFinished() const -> bool { return m_isFinished; }
    /// Closes the connection if no call is in progress and none was started within idleTime.
    auto closeIfIdle(std::chrono::steady_clock::duration idleTime) -> void;

protected:
    auto onHeader(StreamId stream, std::string_view name, std::string_view value) -> void override;
    auto onData(StreamId stream, std::string_view data) -> void override;
    auto onMessageEnd(StreamId stream) -> void override;
    auto onHeadersSent(StreamId stream) -> void override;
    auto onStreamClosed(StreamId stream, bool isRefused) -> void override;
    auto onDisconnected(const std::string& reason) -> void override;
    [[nodiscard]] auto openStreamCount() const -> std::size_t override { return m_openCalls.size(); }

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
    auto openStream(PendingCall pending) -> void;
    auto completeCall(StreamId stream, Core::Result<std::string> result) -> void;
    auto armDeadlineTimer(std::chrono::steady_clock::time_point deadline) -> void;
    [[nodiscard]] auto earliestDeadline() const -> std::chrono::steady_clock::time_point;
    auto expireOpenCalls() -> void;
    auto expirePendingCalls() -> void;

    Core::Address m_peer;
    ClockPropagator m_clock;
    std::deque<PendingCall> m_pendingCalls;
    std::map<StreamId, OpenCall> m_openCalls;
    boost::asio::steady_timer m_connectTimer;
    boost::asio::steady_timer m_deadlineTimer;
    std::chrono::steady_clock::time_point m_armedDeadline = std::chrono::steady_clock::time_point::max();
    std::chrono::steady_clock::time_point m_lastCallTime = std::chrono::steady_clock::now();
    bool m_isConnecting = false;
    bool m_isConnected = false;
    std::atomic<bool> m_isFinished { false };
};

} // namespace PeerStream
