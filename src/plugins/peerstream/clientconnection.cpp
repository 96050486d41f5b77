#include "peerstream/clientconnection.h"

#include "peerstream/messageformat.h"
#include "runtime/endpoints.h"

#include <boost/asio/post.hpp>

namespace PeerStream {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

namespace {

    constexpr auto connectTimeout = std::chrono::milliseconds(500);
    constexpr auto unreachableRemedy = "try another entry VM; operators check the network between failure domains";
    constexpr auto outcomeUnknownRemedy = "retry with the same idempotency key to learn the outcome";

    auto unreachableError(const std::string& reason) -> tl::unexpected<Core::Error>
    {
        return Core::fail(Core::ErrorKind::Unreachable, "the entry VM cannot be reached: " + reason, unreachableRemedy);
    }

    auto outcomeUnknownError(const std::string& reason) -> tl::unexpected<Core::Error>
    {
        return Core::fail(
            Core::ErrorKind::OutcomeUnknown, "the entry VM's answer was lost: " + reason, outcomeUnknownRemedy);
    }

    auto timeoutError() -> tl::unexpected<Core::Error>
    {
        return Core::fail(Core::ErrorKind::Timeout, "the entry VM did not answer in time", outcomeUnknownRemedy);
    }

    auto requestHeaders(const Core::Address& peer, const std::string& kind) -> std::vector<HeaderField>
    {
        return { { ":method", "POST" }, { ":scheme", "http" }, { ":authority", peer.value() },
            { ":path", pathPrefix + kind }, { "content-type", "application/cbor" } };
    }

} // namespace

ClientConnection::ClientConnection(
    asio::io_context& context, Core::Address peer, TrafficCounters& traffic, ClockPropagator clock)
    : H2Session(Socket(asio::make_strand(context)), Role::Client, traffic)
    , m_peer(std::move(peer))
    , m_clock(clock)
    , m_connectTimer(executor())
    , m_deadlineTimer(executor())
{
}

auto ClientConnection::self() -> std::shared_ptr<ClientConnection>
{
    return std::static_pointer_cast<ClientConnection>(shared_from_this());
}

auto ClientConnection::call(
    Ports::PeerMessage message, Core::Duration timeout, Ports::PeerTransport::ReplyCallback callback) -> void
{
    PendingCall pending { std::move(message), SteadyClock::now() + timeout, std::move(callback) };
    asio::post(executor(), [self = self(), pending = std::move(pending)]() mutable {
        self->m_lastCallTime = SteadyClock::now();
        if (self->isClosed()) {
            pending.callback(unreachableError("the connection was closed"));
            return;
        }
        if (self->m_isConnected) {
            self->openStream(std::move(pending));
            self->flush();
            return;
        }
        self->armDeadlineTimer(pending.deadline);
        self->m_pendingCalls.push_back(std::move(pending));
        self->connect();
    });
}

auto ClientConnection::closeIfIdle(SteadyClock::duration idleTime) -> void
{
    asio::post(executor(), [self = self(), idleTime] {
        const bool isIdle = self->m_openCalls.empty() && self->m_pendingCalls.empty();
        if (isIdle && SteadyClock::now() - self->m_lastCallTime >= idleTime)
            self->close("the connection was idle");
    });
}

auto ClientConnection::connect() -> void
{
    if (m_isConnecting)
        return;
    m_isConnecting = true;
    const auto endpoint = Runtime::parseEndpoint(m_peer);
    if (!endpoint) {
        close(endpoint.error().message);
        return;
    }
    m_connectTimer.expires_after(connectTimeout);
    m_connectTimer.async_wait([self = self()](ErrorCode error) {
        if (!error && !self->m_isConnected)
            self->close("no connection was established within " + std::to_string(connectTimeout.count()) + " ms");
    });
    socket().async_connect(*endpoint, [self = self()](ErrorCode error) {
        if (self->isClosed())
            return;
        if (error)
            self->close(error.message());
        else
            self->onConnected();
    });
}

auto ClientConnection::onConnected() -> void
{
    m_isConnected = true;
    m_connectTimer.cancel();
    startSession();
    auto pending = std::exchange(m_pendingCalls, {});
    for (auto& call : pending)
        openStream(std::move(call));
    flush();
}

auto ClientConnection::openStream(PendingCall pending) -> void
{
    auto headers = requestHeaders(m_peer, pending.message.kind);
    m_clock.stamp(headers);
    const auto stream = submitRequest(headers, std::move(pending.message.payload));
    if (stream < 0) {
        // The stream ids are exhausted or the peer is shutting down. The next call opens a new connection.
        m_isFinished = true;
        pending.callback(unreachableError("no stream can be opened"));
        return;
    }
    ++traffic().calls;
    m_openCalls[stream] = { std::move(pending.callback), pending.deadline };
    armDeadlineTimer(pending.deadline);
}

auto ClientConnection::completeCall(StreamId stream, Core::Result<std::string> result) -> void
{
    auto node = m_openCalls.extract(stream);
    if (!node.empty())
        node.mapped().callback(std::move(result));
}

auto ClientConnection::armDeadlineTimer(SteadyClock::time_point deadline) -> void
{
    if (deadline >= m_armedDeadline)
        return;
    m_armedDeadline = deadline;
    m_deadlineTimer.expires_at(deadline);
    m_deadlineTimer.async_wait([self = self()](ErrorCode error) {
        if (error)
            return;
        self->m_armedDeadline = SteadyClock::time_point::max();
        self->expirePendingCalls();
        self->expireOpenCalls();
        self->armDeadlineTimer(self->earliestDeadline());
    });
}

auto ClientConnection::earliestDeadline() const -> SteadyClock::time_point
{
    auto earliest = SteadyClock::time_point::max();
    for (const auto& call : m_pendingCalls)
        earliest = std::min(earliest, call.deadline);
    for (const auto& [stream, call] : m_openCalls)
        earliest = std::min(earliest, call.deadline);
    return earliest;
}

auto ClientConnection::expirePendingCalls() -> void
{
    const auto now = SteadyClock::now();
    const auto isExpired = [now](const PendingCall& call) { return call.deadline <= now; };
    for (auto& call : m_pendingCalls) {
        if (isExpired(call))
            call.callback(unreachableError("no connection was established before the timeout"));
    }
    std::erase_if(m_pendingCalls, isExpired);
}

auto ClientConnection::expireOpenCalls() -> void
{
    const auto now = SteadyClock::now();
    std::vector<StreamId> expired;
    for (const auto& [stream, call] : m_openCalls) {
        if (call.deadline <= now)
            expired.push_back(stream);
    }
    for (const auto stream : expired) {
        resetStream(stream);
        completeCall(stream, timeoutError());
    }
    flush();
}

auto ClientConnection::onHeader(StreamId stream, std::string_view name, std::string_view value) -> void
{
    m_clock.observe(name, value);
    const auto found = m_openCalls.find(stream);
    if (found == m_openCalls.end())
        return;
    auto& call = found->second;
    if (name == ":status")
        call.isOk = value == statusOk;
    else if (name == errorKindHeader)
        call.error.kind = Core::parseErrorKind(value);
    else if (name == errorMessageHeader)
        call.error.message = value;
    else if (name == errorRemedyHeader)
        call.error.remedy = value;
}

auto ClientConnection::onData(StreamId stream, std::string_view data) -> void
{
    const auto found = m_openCalls.find(stream);
    if (found == m_openCalls.end())
        return;
    if (found->second.payload.size() + data.size() > maximumPayloadBytes) {
        resetStream(stream);
        completeCall(stream, outcomeUnknownError("the reply exceeds the maximum message size"));
        return;
    }
    found->second.payload.append(data);
}

auto ClientConnection::onMessageEnd(StreamId stream) -> void
{
    const auto found = m_openCalls.find(stream);
    if (found == m_openCalls.end())
        return;
    auto& call = found->second;
    if (call.isOk)
        completeCall(stream, std::move(call.payload));
    else
        completeCall(stream, tl::unexpected(call.error));
}

auto ClientConnection::onHeadersSent(StreamId stream) -> void
{
    if (const auto found = m_openCalls.find(stream); found != m_openCalls.end())
        found->second.isSent = true;
}

auto ClientConnection::onStreamClosed(StreamId stream, bool isRefused) -> void
{
    const auto found = m_openCalls.find(stream);
    if (found == m_openCalls.end())
        return;
    if (isRefused || !found->second.isSent)
        completeCall(stream, unreachableError("the entry VM refused the message without processing it"));
    else
        completeCall(stream, outcomeUnknownError("the stream was closed"));
}

auto ClientConnection::onDisconnected(const std::string& reason) -> void
{
    m_isFinished = true;
    m_connectTimer.cancel();
    m_deadlineTimer.cancel();
    auto pending = std::exchange(m_pendingCalls, {});
    auto calls = std::exchange(m_openCalls, {});
    for (auto& call : pending)
        call.callback(unreachableError(reason));
    for (auto& [stream, call] : calls) {
        if (call.isSent)
            call.callback(outcomeUnknownError(reason));
        else
            call.callback(unreachableError(reason));
    }
}

} // namespace PeerStream
