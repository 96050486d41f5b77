#pragma once

#include "ports/eventsink.h"
#include "ports/logcontrol.h"

namespace Timeline {

/// Returns the level at which events of a kind are logged: debug for received and answered requests, info for other
/// request events, and for all other kinds the level that the end of the name implies.
auto logLevelOf(const Ports::EventKind& kind) -> Ports::LogLevel;

} // namespace Timeline
