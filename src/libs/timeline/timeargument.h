#pragma once

#include "core/error.h"
#include "core/units.h"

#include <string>

namespace Timeline {

/// Parses "2026-12-04T11:00:00Z" (UTC), or a time relative to now such as "90s", "10m", "2h" or "1d" ago.
auto parseTime(const std::string& text, Core::WallTime now) -> Core::Result<Core::WallTime>;

/// Formats the time as UTC with microseconds, for example "2026-12-04T11:00:00.000250Z".
auto formatTime(Core::WallTime time) -> std::string;

} // namespace Timeline
