#include "peerstream/serverconnection.h"

#include "peerstream/messageformat.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace PeerStream {

namespace asio = boost::asio;

namespace {

    /// Replaces all characters other than printable ASCII, which header values must not contain.
    auto toHeaderValue(std::string text) -> std::string
    {
        std::replace_if(
            text.begin(), text.end(), [](char character) { return character < ' ' || character > '~'; }, '?');
        return text;
    }

    auto successHeaders() -> std::vector<HeaderField>
    {
        return { { ":status", statusOk }, { "content-type", "application/cbor" } };
    }

    auto errorHeaders(const Core::Error& error) -> std::vector<HeaderField>
    {
        return { { ":status", statusFailed }, { errorKindHeader, toString(error.kind) },
            { errorMessageHeader, toHeaderValue(error.message) }, { errorRemedyHeader, toHeaderValue(error.remedy) } };
    }

} // namespace

ServerConnection::ServerConnection(Socket socket, const HandlerTable& handlers, TrafficCounters& traffic,
    ClockPropagator clock, ClosedCallback onClosed)
    : H2Session(std::move(socket), Role::Server, traffic)
    , m_handlers(handlers)
    , m_clock(clock)
    , m_onClosed(std::move(onClosed))
{
}

auto ServerConnection::self() -> std::shared_ptr<ServerConnection>
{
    return std::static_pointer_cast<ServerConnection>(shared_from_this());
}

auto ServerConnection::start() -> void
{
    asio::post(executor(), [self = self()] { self->startSession(); });
}

auto ServerConnection::shutDown() -> void
{
    asio::post(executor(), [self = self()] {
        self->m_isShuttingDown = true;
        self->submitGoAway();
        self->flush();
        self->closeIfAllAnswered();
    });
}

auto ServerConnection::onHeader(StreamId stream, std::string_view name, std::string_view value) -> void
{
    m_clock.observe(name, value);
    const std::string_view prefix(pathPrefix);
    if (name == ":path" && value.starts_with(prefix))
        m_messages[stream].kind = value.substr(prefix.size());
}

auto ServerConnection::onData(StreamId stream, std::string_view data) -> void
{
    const auto found = m_messages.find(stream);
    if (found == m_messages.end())
        return;
    auto& payload = found->second.payload;
    if (payload.size() + data.size() > maximumPayloadBytes) {
        m_messages.erase(found);
        resetStream(stream);
        return;
    }
    payload.append(data);
}

auto ServerConnection::onMessageEnd(StreamId stream) -> void
{
    const auto found = m_messages.find(stream);
    if (found == m_messages.end()) {
        resetStream(stream);
        return;
    }
    // The entry remains until the stream is closed, so that shutDown() waits for the response.
    auto message = std::exchange(found->second, {});
    m_handlers.dispatch(std::move(message), [self = self(), stream](Core::Result<std::string> result) {
        asio::post(self->executor(),
            [self, stream, result = std::move(result)]() mutable { self->respond(stream, std::move(result)); });
    });
}

auto ServerConnection::respond(StreamId stream, Core::Result<std::string> result) -> void
{
    if (isClosed() || !m_messages.contains(stream))
        return;
    auto headers = result ? successHeaders() : errorHeaders(result.error());
    m_clock.stamp(headers);
    submitResponse(stream, headers, result ? std::move(*result) : std::string());
    flush();
}

auto ServerConnection::onHeadersSent(StreamId) -> void { }

auto ServerConnection::onStreamClosed(StreamId stream, bool) -> void
{
    m_messages.erase(stream);
    if (m_isShuttingDown)
        asio::post(executor(), [self = self()] { self->closeIfAllAnswered(); });
}

auto ServerConnection::onDisconnected(const std::string&) -> void { m_onClosed(self()); }

auto ServerConnection::closeIfAllAnswered() -> void
{
    if (m_messages.empty())
        close("shut down");
}

} // namespace PeerStream
