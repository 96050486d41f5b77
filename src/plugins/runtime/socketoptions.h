#pragma once

#include "core/units.h"

namespace Runtime {

/// Makes the operating system close the connection, idle or not, if the peer acknowledges nothing for about `timeout`.
auto enableDeadPeerDetection(int socket, Core::Millis timeout) -> void;

} // namespace Runtime
