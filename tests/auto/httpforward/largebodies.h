#pragma once

#include <array>
#include <cstdio>
#include <string>

namespace HttpForwardTest {

/// Returns a body whose bytes tell their place, so that a missing or repeated part shows.
inline auto numberedBody(std::size_t size) -> std::string
{
    std::string body(size, ' ');
    for (std::size_t index = 0; index < size; ++index)
        body[index] = static_cast<char>('a' + (index / 7 + index / 4096) % 26);
    return body;
}

/// Returns the body in chunks, up to the line of the last chunk.
inline auto chunked(const std::string& body) -> std::string
{
    constexpr std::size_t chunkBytes = 10'000;
    std::string text;
    for (std::size_t at = 0; at < body.size(); at += chunkBytes) {
        const auto chunk = body.substr(at, chunkBytes);
        std::array<char, 16> size {};
        std::snprintf(size.data(), size.size(), "%zx\r\n", chunk.size());
        text += size.data() + chunk + "\r\n";
    }
    return text + "0\r\n";
}

inline auto unchunked(std::string text) -> std::string
{
    std::string body;
    while (true) {
        const auto size = std::stoul(text, nullptr, 16);
        if (size == 0)
            return body;
        text.erase(0, text.find("\r\n") + 2);
        body += text.substr(0, size);
        text.erase(0, size + 2);
    }
}

} // namespace HttpForwardTest
