#pragma once

#include "timeline/entry.h"

#include <vector>

namespace Timeline {

/// Merges the entries of several processes in causal order: by hybrid time, then by process. An entry that is in
/// several sources, for example in a ring and a log file, appears once.
auto merge(std::vector<std::vector<Entry>> sources) -> std::vector<Entry>;

} // namespace Timeline
