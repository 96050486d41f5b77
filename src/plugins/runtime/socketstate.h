#pragma once

#include "core/units.h"

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

/// Returns true if the peer has ended its stream or reset the connection, also if bytes that it sent before wait
/// unread.
auto hasPeerClosed(int socket) -> bool;

/// Returns the bytes that were written to the socket and that the peer's system has not acknowledged. They may still be
/// on this VM, waiting for its link.
auto unacknowledgedBytes(int socket) -> Core::Bytes;

} // namespace Runtime
