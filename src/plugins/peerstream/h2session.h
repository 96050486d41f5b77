#pragma once

#include "core/ids.h"
#include "peerstream/trafficcounters.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct nghttp2_session;
struct nghttp2_session_callbacks;

namespace PeerStream {

using StreamId = std::int32_t;
using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;

struct HeaderField {
    std::string name;
    std::string value;
};

/// HTTP/2 connection without TLS between two entry VMs. All work on the connection runs on its strand.
/// While streams are open, the peer is pinged at a fixed interval; the connection is closed if a ping is not answered
/// before the next one is due.
class H2Session : public std::enable_shared_from_this<H2Session> {
public:
    enum class Role : std::uint8_t { Client, Server };

    H2Session(Socket socket, Role role, TrafficCounters& traffic);
    virtual ~H2Session();
    H2Session(const H2Session&) = delete;
    auto operator=(const H2Session&) -> H2Session& = delete;

    auto executor() -> Strand { return m_strand; }

protected:
    /// Sends the connection preface and the settings, and starts reading.
    auto startSession() -> void;
    auto socket() -> Socket& { return m_socket; }
    auto traffic() -> TrafficCounters& { return m_traffic; }
    /// Returns the id of the new stream, or a negative number if no stream can be opened.
    auto submitRequest(const std::vector<HeaderField>& headers, std::string body) -> StreamId;
    auto submitResponse(StreamId stream, const std::vector<HeaderField>& headers, std::string body) -> void;
    auto resetStream(StreamId stream) -> void;
    /// Tells the peer to open no further streams.
    auto submitGoAway() -> void;
    /// Writes all submitted frames to the socket.
    auto flush() -> void;
    /// Closes the connection and calls onDisconnected() once.
    auto close(const std::string& reason) -> void;
    [[nodiscard]] auto isClosed() const -> bool { return m_isClosed; }

    virtual auto onHeader(StreamId stream, std::string_view name, std::string_view value) -> void = 0;
    virtual auto onData(StreamId stream, std::string_view data) -> void = 0;
    /// Called when the peer's message has been received completely.
    virtual auto onMessageEnd(StreamId stream) -> void = 0;
    /// Called when the stream's first frame has been handed to the operating system or is about to be.
    virtual auto onHeadersSent(StreamId stream) -> void = 0;
    /// isRefused is true if the peer reported that it did not process the stream.
    virtual auto onStreamClosed(StreamId stream, bool isRefused) -> void = 0;
    virtual auto onDisconnected(const std::string& reason) -> void = 0;
    /// Returns the number of streams that wait for the peer.
    [[nodiscard]] virtual auto openStreamCount() const -> std::size_t = 0;

private:
    struct OutgoingBody {
        std::string data;
        std::size_t offset = 0;
    };
    struct Callbacks;

    static constexpr std::size_t readBufferSize = 16 * 1024;

    auto readNext() -> void;
    auto processInput(std::size_t size) -> void;
    auto fillOutputBuffer() -> void;
    auto schedulePing() -> void;
    auto onPingTimer() -> void;

    Strand m_strand;
    Socket m_socket;
    TrafficCounters& m_traffic;
    nghttp2_session* m_session = nullptr;
    std::array<char, readBufferSize> m_input {};
    std::string m_output;
    std::map<StreamId, OutgoingBody> m_bodies;
    boost::asio::steady_timer m_pingTimer;
    bool m_isWriting = false;
    bool m_isPingScheduled = false;
    bool m_isPingOutstanding = false;
    bool m_isClosed = false;
};

} // namespace PeerStream
