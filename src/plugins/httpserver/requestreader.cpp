#include "httpserver/requestreader.h"

#include <boost/beast/http/read.hpp>

namespace HttpServer {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

namespace detail {

    namespace {

        constexpr std::size_t readAheadBytes = 512;
        /// Bytes that may wait to be parsed, in addition to a header of the maximum size.
        constexpr std::size_t maximumBufferedBytes = 64UL * 1024;

        /// Returns true for any transfer coding but a single "chunked", because the end of such a request is ambiguous.
        auto hasUnknownTransferCoding(const HttpRequest& request) -> bool
        {
            const auto [first, last] = request.equal_range(http::field::transfer_encoding);
            if (first == last)
                return false;
            return std::next(first) != last || !beast::iequals(first->value(), "chunked");
        }

    } // namespace

    RequestReader::RequestReader(TimedSocket& socket, ResponseWriter& writer, std::shared_ptr<ServerState> server)
        : m_socket(socket)
        , m_writer(writer)
        , m_server(std::move(server))
        , m_stopped(socket.executor())
        , m_closeWatch(socket)
    {
    }

    auto RequestReader::setLimits(std::shared_ptr<const Limits> limits) -> void
    {
        m_limits = std::move(limits);
        m_buffer.max_size(m_limits->maximumHeader.value() + maximumBufferedBytes);
    }

    auto RequestReader::prepareParser(Parser& parser) const -> void
    {
        parser.header_limit(static_cast<std::uint32_t>(m_limits->maximumHeader.value()));
        parser.body_limit(m_limits->maximumBody.value());
    }

    auto RequestReader::read(Parser& parser) -> asio::awaitable<Error>
    {
        m_isHeldBack = false;
        prepareParser(parser);
        m_socket.armTimeout(m_limits->headerTimeout.count() > 0 ? m_limits->headerTimeout : m_limits->idleTimeout);
        Error error;
        co_await http::async_read_header(
            m_socket.stream(), m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return error;
        if (hasUnknownTransferCoding(parser.get()))
            co_return http::make_error_code(http::error::bad_transfer_encoding);
        if (!reserveBody(parser)) {
            m_isBodyRefused = true;
            co_return Error();
        }
        if (!parser.is_done())
            m_socket.armTimeout(m_limits->idleTimeout);
        if (!parser.is_done() && beast::iequals(parser.get()[http::field::expect], "100-continue"))
            error = co_await m_writer.writeContinue();
        if (!error)
            co_await http::async_read(
                m_socket.stream(), m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        m_socket.disarmTimeout();
        co_return error;
    }

    auto RequestReader::reserveBody(Parser& parser) -> bool
    {
        if (parser.is_done())
            return true;
        // A body of unknown length is limited to the size that is reserved for it.
        constexpr std::uint64_t unknownLength = 1024UL * 1024;
        const auto limit = m_limits->maximumBody.value();
        const auto reservation = parser.content_length() ? *parser.content_length() : std::min(unknownLength, limit);
        if (!parser.content_length())
            parser.body_limit(reservation);
        auto& reservedBytes = m_server->reservedBodyBytes;
        if (reservedBytes.fetch_add(reservation) + reservation > m_limits->maximumBodyTotal.value()) {
            reservedBytes -= reservation;
            return false;
        }
        m_reservedBytes = reservation;
        return true;
    }

    auto RequestReader::releaseBody() -> void { m_server->reservedBodyBytes -= std::exchange(m_reservedBytes, 0U); }

    auto RequestReader::hasInput() const -> bool { return m_buffer.size() > 0 || m_socket.hasInput(); }

    auto RequestReader::peekRequest() -> std::optional<HttpRequest>
    {
        if (m_isHeldBack || m_buffer.size() == 0)
            return std::nullopt;
        Parser parser;
        prepareParser(parser);
        Error error;
        m_peekedBytes = parser.put(m_buffer.data(), error);
        if (error == http::error::need_more)
            return std::nullopt;
        if (error || !parser.is_done() || hasUnknownTransferCoding(parser.get())) {
            holdBackPeeked();
            return std::nullopt;
        }
        return parser.release();
    }

    auto RequestReader::takePeeked() -> void { m_buffer.consume(std::exchange(m_peekedBytes, 0U)); }

    auto RequestReader::readAhead(InputCallback callback) -> void
    {
        if (m_isReadingAhead)
            return;
        if (m_buffer.size() + readAheadBytes > m_limits->maximumHeader.value()) {
            watchForClose(std::move(callback));
            return;
        }
        m_isReadingAhead = true;
        waitForInput(std::move(callback));
    }

    auto RequestReader::waitForInput(InputCallback callback) -> void
    {
        m_socket.stream().async_wait(
            Socket::wait_read, [this, callback = std::move(callback)](const Error& error) mutable {
                handleInput(error, std::move(callback));
            });
    }

    auto RequestReader::handleInput(Error error, InputCallback callback) -> void
    {
        if (!error && !m_isStopping)
            error = readArrived();
        if (error == asio::error::would_block) {
            waitForInput(std::move(callback));
            return;
        }
        m_isReadingAhead = false;
        if (m_isStopping)
            m_stopped.notify();
        else
            callback(!error);
    }

    auto RequestReader::readArrived() -> Error
    {
        const auto room = m_limits->maximumHeader.value() - m_buffer.size();
        const auto unused = m_buffer.capacity() - m_buffer.size();
        const auto space = m_buffer.prepare(std::min(room, std::max(readAheadBytes, unused)));
        Error error;
        m_buffer.commit(m_socket.stream().read_some(space, error));
        return error;
    }

    auto RequestReader::watchForClose(InputCallback callback) -> void
    {
        m_closeWatch.start([callback = std::move(callback)] { callback(false); });
    }

    auto RequestReader::stopReadingAhead() -> asio::awaitable<void>
    {
        m_closeWatch.stop();
        m_isStopping = true;
        if (m_isReadingAhead)
            m_socket.cancel();
        while (m_isReadingAhead)
            co_await m_stopped.wait();
        m_isStopping = false;
    }

} // namespace detail

} // namespace HttpServer
