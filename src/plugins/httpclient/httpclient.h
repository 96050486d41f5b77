#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace HttpClient {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// How far a failed exchange had come.
enum class FailureStage : std::uint8_t {
    /// No byte of the request was written.
    BeforeWrite,
    /// Bytes were written; the server may have acted on them.
    AfterWrite,
    /// As AfterWrite, and the time allowed for the exchange passed.
    TimedOut,
    /// The response was not valid HTTP or too large.
    InvalidResponse,
    /// As AfterWrite, and the caller of the client gave the exchange up.
    Cancelled,
};

struct Failure {
    FailureStage stage = FailureStage::BeforeWrite;
    bool reusedConnection = false;
    std::string detail;
    /// The server did not even refuse the connection; nothing was written.
    bool hasConnectTimedOut = false;
};

struct Exchange {
    HttpResponse response;
    bool reusedConnection = false;
};

struct Call {
    Core::Address address;
    HttpRequest request;
    Core::Duration timeout {};
    /// Connections are shared only by calls with the same text here: a server that started anew at the same address
    /// must not be reached over what is left of the one before it.
    std::string incarnation;
    /// Whether a response belongs to this request. Others are skipped, and the connection is closed afterwards. Empty
    /// takes the first response.
    std::function<bool(const HttpResponse&)> isOwnResponse;
    /// Called before the call goes out over a new connection when the server has closed an idle one before its time.
    std::function<void()> idleConnectionEnded;
};

/// Exchange that was started; may be given up. Dropping it leaves the exchange running.
class PendingCall {
public:
    virtual ~PendingCall() = default;
    /// Closes the connection, which tells the server to stop. The callback still comes. Safe from any thread.
    virtual auto cancel() -> void = 0;
};

struct Limits {
    Core::Bytes maximumBody { 4 * 1024 * 1024 };
    std::size_t idleConnectionsPerAddress = 64;
    Core::Millis connectTimeout { 1000 };
    /// Connections that were idle for longer are closed instead of used: something between the two ends may have
    /// forgotten them.
    Core::Millis idleTimeout { 30'000 };
    /// A connection whose other end acknowledges nothing for so long is broken; zero leaves it to the system.
    Core::Millis silenceTimeout { 0 };
};

/// HTTP/1.1 client with a pool of idle connections for each address. A connection whose exchange failed is closed.
class Client {
public:
    using Callback = std::function<void(tl::expected<Exchange, Failure>)>;

    explicit Client(boost::asio::io_context& context, Limits limits = {});
    ~Client();

    /// Calls back exactly once.
    auto send(Call call, Callback callback) -> std::shared_ptr<PendingCall>;
    /// Connections that were opened since the start.
    [[nodiscard]] auto openedConnections() const -> std::uint64_t;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace HttpClient
