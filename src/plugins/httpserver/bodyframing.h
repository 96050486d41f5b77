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
        /// Returns false if the part is longer than the rest of the body; it must not be written then.
        auto accept(std::size_t partSize) -> bool;
        [[nodiscard]] auto frame(std::size_t partSize) const -> Frame;
        /// Returns true if the accepted parts have the length that the head says.
        [[nodiscard]] auto isComplete() const -> bool { return m_remaining.value_or(0) == 0; }
        /// Returns the frame around nothing that ends a complete body.
        [[nodiscard]] auto end() const -> Frame;

    private:
        const bool m_isChunked;
        /// Bytes that are left of the Content-Length, if there is one.
        std::optional<std::uint64_t> m_remaining;
    };

} // namespace detail

} // namespace HttpServer
