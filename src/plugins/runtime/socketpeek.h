#pragma once

#include <cstdint>

namespace Runtime {

/// What waits to be read from a socket.
enum class PeekResult : std::uint8_t {
    Nothing,
    Bytes,
    /// The end of the stream, or an error.
    Closed,
};

/// Looks at the socket without reading from it or waiting.
auto peek(int socket) -> PeekResult;

} // namespace Runtime
