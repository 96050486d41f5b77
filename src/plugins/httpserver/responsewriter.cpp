#include "httpserver/responsewriter.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace HttpServer {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

namespace detail {

    namespace {

        /// Time for which input is read and discarded before a connection is closed: closing it with unread input
        /// resets it, and the client can lose the response (RFC 9112, section 9.6).
        constexpr Core::Millis discardTime { 500 };
        constexpr std::size_t discardLimit = 4UL * 1024 * 1024;

        auto buffer(std::string_view text) -> asio::const_buffer { return { text.data(), text.size() }; }

    } // namespace

    auto ResponseWriter::write(HttpResponse& response) -> asio::awaitable<bool>
    {
        m_socket.armTimeout(m_idleTimeout);
        Error error;
        co_await http::async_write(m_socket.stream(), response, asio::redirect_error(asio::use_awaitable, error));
        m_socket.disarmTimeout();
        co_return !error;
    }

    auto ResponseWriter::writeHead(HttpResponse& head) -> asio::awaitable<bool>
    {
        http::response_serializer<http::string_body> serializer(head);
        m_socket.armTimeout(m_idleTimeout);
        Error error;
        co_await http::async_write_header(
            m_socket.stream(), serializer, asio::redirect_error(asio::use_awaitable, error));
        m_socket.disarmTimeout();
        co_return !error;
    }

    // The arguments of these coroutines are variables, because GCC 12 loses temporaries among them.
    auto ResponseWriter::writeBody(const HttpResponse& head, std::shared_ptr<PartReader> body) -> asio::awaitable<bool>
    {
        BodyFraming framing(head);
        std::optional<std::string> part;
        bool isWritten = true;
        while (isWritten) {
            part = co_await PartReader::read(body);
            if (!part || part->empty())
                break;
            if (!framing.accept(part->size()))
                co_return false;
            const BodyFraming::Frame frame = framing.frame(part->size());
            isWritten = co_await writeText(frame, *part);
        }
        if (!isWritten || !part || !framing.isComplete())
            co_return false;
        const BodyFraming::Frame end = framing.end();
        isWritten = co_await writeText(end, *part);
        co_return isWritten;
    }

    auto ResponseWriter::writeContinue() -> asio::awaitable<Error>
    {
        constexpr std::string_view interimResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        Error error;
        co_await asio::async_write(
            m_socket.stream(), buffer(interimResponse), asio::redirect_error(asio::use_awaitable, error));
        co_return error;
    }

    auto ResponseWriter::discardInput() -> asio::awaitable<void>
    {
        m_socket.shutDownSending();
        m_socket.armTimeout(discardTime);
        Error error;
        std::array<char, 4096> bytes {};
        std::size_t discarded = 0;
        while (!error && discarded < discardLimit)
            discarded += co_await m_socket.stream().async_read_some(
                asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        m_socket.disarmTimeout();
    }

    auto ResponseWriter::writeText(const BodyFraming::Frame& frame, const std::string& part) -> asio::awaitable<bool>
    {
        const std::array<asio::const_buffer, 3> text { buffer(frame.prefix), buffer(part), buffer(frame.suffix) };
        beast::buffers_suffix<std::array<asio::const_buffer, 3>> rest(text);
        Error error;
        while (!error && beast::buffer_bytes(rest) > 0) {
            m_socket.armTimeout(m_idleTimeout);
            rest.consume(
                co_await m_socket.stream().async_write_some(rest, asio::redirect_error(asio::use_awaitable, error)));
        }
        m_socket.disarmTimeout();
        co_return !error;
    }

} // namespace detail

} // namespace HttpServer
