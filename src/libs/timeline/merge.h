#pragma once

#include "timeline/entry.h"

#include <vector>

namespace Timeline {

/// Puts the entries of several processes into causal order: by hybrid time, then by process. An entry that several
/// sources told, for example a ring and a log file, appears once.
auto merge(std::vector<std::vector<Entry>> sources) -> std::vector<Entry>;

} // namespace Timeline
