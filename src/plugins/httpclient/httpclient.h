#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "ports/bodystream.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace HttpClient {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;
using ResponseHead = boost::beast::http::response_header<>;

/// Point at which an exchange failed.
enum class FailureStage : std::uint8_t {
    /// No byte of the request was written, because the call was cancelled or Call::isStillWanted() returned false.
    Withdrawn,
    /// No byte of the request was written, because this process lacks a resource, for example a file descriptor.
    OwnShortage,
    /// No byte of the request was written.
    BeforeWrite,
    /// Bytes were written; the server may have acted on them.
    AfterWrite,
    /// As AfterWrite; the timeout of the exchange expired.
    TimedOut,
    /// The response was not valid HTTP, or too large.
    InvalidResponse,
    /// As AfterWrite; PendingCall::cancel() was called, or this process failed.
    Cancelled,
};

struct Failure {
    FailureStage stage = FailureStage::BeforeWrite;
    bool reusedConnection = false;
    std::string detail;
    /// The connection attempt timed out; nothing was written.
    bool hasConnectTimedOut = false;
    /// Bytes of the request that the server's system had not acknowledged when the call was cancelled.
    Core::Bytes unacknowledged;
};

struct Exchange {
    /// Its body is empty if there is a stream.
    HttpResponse response;
    bool reusedConnection = false;
    /// The whole body, if it is larger than largeBody and the call asked for a stream; null otherwise. The connection
    /// belongs to the exchange until the body ends, and is closed unless it ends whole.
    std::shared_ptr<Ports::BodyStream> body;
};

/// Bodies up to this size are delivered whole.
inline const Core::Bytes largeBody { 64UL * 1024 };
/// The most that an exchange whose body is streamed holds in memory: a part that has been received, one that its reader
/// holds, and bytes that are being received.
inline const Core::Bytes streamMemory { 3 * 64UL * 1024 };

/// Request that a response belongs to.
enum class ResponseOwner : std::uint8_t {
    ThisRequest,
    /// The response is skipped, and the connection is closed afterwards.
    OtherRequest,
    /// The response is delivered, and the connection is closed: the response to this request may still follow.
    Unknown,
};

struct Call {
    Core::Address address;
    HttpRequest request;
    Core::Duration timeout {};
    /// Identifies the server process. Calls with different incarnations never share a connection, so that a server that
    /// restarted at the same address is not reached over a connection to its predecessor.
    std::string incarnation;
    /// Returns the request that the response belongs to. If empty, all responses belong to this request.
    std::function<ResponseOwner(const ResponseHead&)> ownerOf;
    /// Limit on the response's body, if it is smaller than that of the client.
    std::optional<Core::Bytes> maximumBody;
    /// Delivers a large body as a stream. Its length is not limited, since only a part is in memory at a time.
    bool streamsLargeBody = false;
    /// Called right before the request is written. If it returns false, the call fails and its connection stays usable.
    /// If empty, the request is always written.
    std::function<bool()> isStillWanted;
    /// Called before the request is sent over a new connection if the server closed a pooled one before its timeout.
    std::function<void()> onIdleConnectionClosed;
};

/// Handle of a running exchange. Destroying it does not cancel the exchange.
class PendingCall {
public:
    virtual ~PendingCall() = default;
    /// Closes the connection, so that the server can stop its work. The callback is still called. Thread-safe.
    virtual auto cancel() -> void = 0;
};

struct Limits {
    /// Limit on a body that is not streamed.
    Core::Bytes maximumBody { 4 * 1024 * 1024 };
    std::size_t idleConnectionsPerAddress = 64;
    Core::Millis connectTimeout { 1000 };
    /// Connections that were idle for longer are closed instead of reused: a device between client and server may have
    /// dropped their state.
    Core::Millis idleTimeout { 30'000 };
    /// A connection is considered broken if its peer acknowledges nothing for this long; zero selects the system's
    /// default.
    Core::Millis deadPeerTimeout { 0 };
};

/// HTTP/1.1 client with a pool of idle connections for each address. A connection whose exchange failed is closed.
class Client {
public:
    using Callback = std::function<void(tl::expected<Exchange, Failure>)>;

    explicit Client(boost::asio::io_context& context, Limits limits = {});
    ~Client();

    /// Sends the request and calls back exactly once.
    auto send(Call call, Callback callback) -> std::shared_ptr<PendingCall>;
    /// Returns the number of connections opened since the start.
    [[nodiscard]] auto openedConnections() const -> std::uint64_t;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace HttpClient
