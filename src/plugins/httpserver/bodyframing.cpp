#include "httpserver/bodyframing.h"

#include <array>
#include <charconv>

namespace HttpServer {

namespace http = boost::beast::http;

namespace detail {

    namespace {

        auto contentLength(const HttpResponse& head) -> std::optional<std::uint64_t>
        {
            const std::string_view text(head[http::field::content_length]);
            std::uint64_t length = 0;
            const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
            if (error != std::errc() || end != text.data() + text.size())
                return std::nullopt;
            return length;
        }

        auto chunkHeader(std::size_t size) -> std::string
        {
            constexpr int hexadecimal = 16;
            std::array<char, 2 * sizeof(size)> digits {};
            const auto [end, ignored] = std::to_chars(digits.data(), digits.data() + digits.size(), size, hexadecimal);
            return std::string(digits.data(), end) + "\r\n";
        }

    } // namespace

    BodyFraming::BodyFraming(const HttpResponse& head)
        : m_isChunked(head.chunked())
        , m_remaining(m_isChunked ? std::nullopt : contentLength(head))
    {
    }

    auto BodyFraming::accept(std::size_t partSize) -> bool
    {
        if (!m_remaining)
            return true;
        if (partSize > *m_remaining)
            return false;
        *m_remaining -= partSize;
        return true;
    }

    auto BodyFraming::frame(std::size_t partSize) const -> Frame
    {
        return m_isChunked ? Frame { chunkHeader(partSize), "\r\n" } : Frame {};
    }

    auto BodyFraming::end() const -> Frame { return m_isChunked ? Frame { "0\r\n", "\r\n" } : Frame {}; }

} // namespace detail

} // namespace HttpServer
