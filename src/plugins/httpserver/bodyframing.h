#pragma once

#include "httpserver/httpserver.h"

#include <optional>
#include <string>

namespace HttpServer {

namespace detail {

    /// Frames the parts of a streamed body as the head of the response says.
    class BodyFraming {
    public:
        explicit BodyFraming(const HttpResponse& head);

        /// Frame around one part of the body.
        struct Frame {
            std::string prefix;
            std::string suffix;
        };
        /// Returns std::nullopt if the part is longer than the rest of the body.
        auto frame(std::size_t partSize) -> std::optional<Frame>;
        /// Returns what follows the last part, or std::nullopt if the body is not complete.
        [[nodiscard]] auto end() const -> std::optional<std::string>;

    private:
        const bool m_isChunked;
        /// Bytes that are left of the Content-Length, if there is one.
        std::optional<std::uint64_t> m_remaining;
    };

} // namespace detail

} // namespace HttpServer
