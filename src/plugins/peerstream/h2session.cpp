#include "peerstream/h2session.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <nghttp2/nghttp2.h>

namespace PeerStream {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

namespace {

    constexpr std::uint32_t streamWindowBytes = 1024 * 1024;
    constexpr std::int32_t connectionWindowBytes = 16 * 1024 * 1024;
    constexpr std::uint32_t maximumStreams = 10'000;
    constexpr std::size_t outputChunkBytes = 256 * 1024;
    constexpr auto pingInterval = std::chrono::milliseconds(500);

    auto nameValue(const HeaderField& field) -> nghttp2_nv
    {
        auto* name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.name.data()));
        auto* value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.value.data()));
        return { name, value, field.name.size(), field.value.size(), NGHTTP2_NV_FLAG_NONE };
    }

    auto nameValues(const std::vector<HeaderField>& fields) -> std::vector<nghttp2_nv>
    {
        std::vector<nghttp2_nv> values;
        values.reserve(fields.size());
        for (const auto& field : fields)
            values.push_back(nameValue(field));
        return values;
    }

    auto isMessageFrame(const nghttp2_frame& frame) -> bool
    {
        return frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
    }

    auto toStringView(const std::uint8_t* data, std::size_t size) -> std::string_view
    {
        return { reinterpret_cast<const char*>(data), size };
    }

} // namespace

/// C callbacks of nghttp2. Each forwards to the session passed as user data.
struct H2Session::Callbacks {
    static auto self(void* user) -> H2Session& { return *static_cast<H2Session*>(user); }

    static auto header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t nameSize,
        const std::uint8_t* value, std::size_t valueSize, std::uint8_t, void* user) -> int
    {
        self(user).onHeader(frame->hd.stream_id, toStringView(name, nameSize), toStringView(value, valueSize));
        return 0;
    }

    static auto dataChunk(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* data,
        std::size_t size, void* user) -> int
    {
        self(user).onData(stream, toStringView(data, size));
        return 0;
    }

    static auto frameReceived(nghttp2_session*, const nghttp2_frame* frame, void* user) -> int
    {
        auto& session = self(user);
        if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0)
            session.m_isPingOutstanding = false;
        if (isMessageFrame(*frame) && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
            session.onMessageEnd(frame->hd.stream_id);
        return 0;
    }

    static auto frameSent(nghttp2_session*, const nghttp2_frame* frame, void* user) -> int
    {
        if (frame->hd.type == NGHTTP2_HEADERS)
            self(user).onHeadersSent(frame->hd.stream_id);
        return 0;
    }

    static auto streamClosed(nghttp2_session*, std::int32_t stream, std::uint32_t code, void* user) -> int
    {
        auto& session = self(user);
        session.m_bodies.erase(stream);
        session.onStreamClosed(stream, code == NGHTTP2_REFUSED_STREAM);
        return 0;
    }

    static auto readBody(nghttp2_session*, std::int32_t stream, std::uint8_t* buffer, std::size_t capacity,
        std::uint32_t* flags, nghttp2_data_source*, void* user) -> ssize_t
    {
        auto& body = self(user).m_bodies[stream];
        const auto size = std::min(capacity, body.data.size() - body.offset);
        std::copy_n(body.data.data() + body.offset, size, buffer);
        body.offset += size;
        if (body.offset == body.data.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(size);
    }

    static auto create() -> nghttp2_session_callbacks*
    {
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, header);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, dataChunk);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, frameReceived);
        nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, frameSent);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, streamClosed);
        return callbacks;
    }
};

H2Session::H2Session(Socket socket, Role role, TrafficCounters& traffic)
    : m_strand(socket.get_executor())
    , m_socket(std::move(socket))
    , m_traffic(traffic)
    , m_pingTimer(m_strand)
{
    auto* callbacks = Callbacks::create();
    if (role == Role::Client)
        nghttp2_session_client_new(&m_session, callbacks, this);
    else
        nghttp2_session_server_new(&m_session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
}

H2Session::~H2Session() { nghttp2_session_del(m_session); }

auto H2Session::startSession() -> void
{
    const std::array<nghttp2_settings_entry, 2> settings { {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maximumStreams },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes },
    } };
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
    ErrorCode ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    flush();
    readNext();
}

auto H2Session::submitRequest(const std::vector<HeaderField>& headers, std::string body) -> StreamId
{
    const auto values = nameValues(headers);
    nghttp2_data_provider provider { {}, Callbacks::readBody };
    const auto stream = nghttp2_submit_request(m_session, nullptr, values.data(), values.size(), &provider, nullptr);
    if (stream > 0) {
        m_bodies[stream] = { std::move(body), 0 };
        schedulePing();
    }
    return stream;
}

auto H2Session::submitResponse(StreamId stream, const std::vector<HeaderField>& headers, std::string body) -> void
{
    const auto values = nameValues(headers);
    nghttp2_data_provider provider { {}, Callbacks::readBody };
    m_bodies[stream] = { std::move(body), 0 };
    if (nghttp2_submit_response(m_session, stream, values.data(), values.size(), &provider) != 0)
        m_bodies.erase(stream);
}

auto H2Session::resetStream(StreamId stream) -> void
{
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
}

auto H2Session::submitGoAway() -> void
{
    const auto last = nghttp2_session_get_last_proc_stream_id(m_session);
    nghttp2_submit_goaway(m_session, NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
}

auto H2Session::flush() -> void
{
    if (m_isWriting || m_isClosed)
        return;
    fillOutputBuffer();
    if (m_output.empty())
        return;
    m_isWriting = true;
    m_traffic.sentBytes += m_output.size();
    asio::async_write(m_socket, asio::buffer(m_output), [self = shared_from_this()](ErrorCode error, std::size_t) {
        self->m_isWriting = false;
        if (error)
            self->close(error.message());
        else
            self->flush();
    });
}

auto H2Session::fillOutputBuffer() -> void
{
    m_output.clear();
    while (m_output.size() < outputChunkBytes) {
        const std::uint8_t* data = nullptr;
        const auto size = nghttp2_session_mem_send(m_session, &data);
        if (size <= 0)
            return;
        m_output.append(toStringView(data, static_cast<std::size_t>(size)));
    }
}

auto H2Session::readNext() -> void
{
    m_socket.async_read_some(asio::buffer(m_input), [self = shared_from_this()](ErrorCode error, std::size_t size) {
        if (error)
            self->close(error.message());
        else
            self->processInput(size);
    });
}

auto H2Session::processInput(std::size_t size) -> void
{
    if (m_isClosed)
        return;
    m_traffic.receivedBytes += size;
    const auto* data = reinterpret_cast<const std::uint8_t*>(m_input.data());
    const auto consumed = nghttp2_session_mem_recv(m_session, data, size);
    if (consumed < 0) {
        close(nghttp2_strerror(static_cast<int>(consumed)));
        return;
    }
    flush();
    const bool isSessionTerminated
        = nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0;
    if (isSessionTerminated)
        close("the connection was shut down");
    else
        readNext();
}

auto H2Session::schedulePing() -> void
{
    if (m_isPingScheduled || m_isClosed)
        return;
    m_isPingScheduled = true;
    m_pingTimer.expires_after(pingInterval);
    m_pingTimer.async_wait([self = shared_from_this()](ErrorCode error) {
        self->m_isPingScheduled = false;
        if (!error)
            self->onPingTimer();
    });
}

auto H2Session::onPingTimer() -> void
{
    if (m_isClosed)
        return;
    if (m_isPingOutstanding) {
        close("the connection is silent: a ping was not answered");
        return;
    }
    if (openStreamCount() == 0)
        return;
    m_isPingOutstanding = true;
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    flush();
    schedulePing();
}

auto H2Session::close(const std::string& reason) -> void
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_pingTimer.cancel();
    ErrorCode ignored;
    m_socket.close(ignored);
    onDisconnected(reason);
}

} // namespace PeerStream
