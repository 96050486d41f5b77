#pragma once

#include "core/units.h"

namespace Runtime {

/// Selects what closing the socket does: it resets the connection and discards bytes that were not sent yet, or
/// delivers them and ends the stream.
auto setResetOnClose(int socket, bool isEnabled) -> void;
/// Makes the operating system close the connection, idle or not, if the peer acknowledges nothing for about `timeout`.
auto enableDeadPeerDetection(int socket, Core::Millis timeout) -> void;

} // namespace Runtime
