#pragma once

#include "ports/eventsink.h"
#include "ports/logcontrol.h"

namespace Timeline {

/// Level at which events of a kind are logged. Received and answered requests are debug, other requests info.
auto logLevelOf(const Ports::EventKind& kind) -> Ports::LogLevel;

} // namespace Timeline
