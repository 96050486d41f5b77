#pragma once

#include "core/units.h"

namespace Runtime {

/// Lets the system end a connection whose other end has acknowledged nothing for about the given time, idle or not.
auto detectSilence(int socket, Core::Millis limit) -> void;

} // namespace Runtime
