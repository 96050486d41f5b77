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

    auto BodyFraming::frame(std::size_t partSize) -> std::optional<Frame>
    {
        if (m_isChunked)
            return Frame { chunkHeader(partSize), "\r\n" };
        if (m_remaining) {
            if (partSize > *m_remaining)
                return std::nullopt;
            *m_remaining -= partSize;
        }
        return Frame {};
    }

    auto BodyFraming::end() const -> std::optional<std::string>
    {
        if (m_isChunked)
            return "0\r\n\r\n";
        if (m_remaining.value_or(0) > 0)
            return std::nullopt;
        return std::string();
    }

} // namespace detail

} // namespace HttpServer
