#pragma once

#include "timeline/eventring.h"

#include <vector>

namespace App {

/// What one source of a time line told.
struct TimelineSource {
    /// Address or file name.
    std::string name;
    std::vector<Timeline::Entry> entries;
    /// Entries that the process no longer holds.
    std::uint64_t dropped = 0;
    /// Set when the source told nothing, or only a part.
    std::optional<Core::Error> error;
};

/// Reads the entries of an entry VM, page by page. Blocks for a few seconds at most when it does not answer.
auto readTimelineAt(const Core::Address& address, const Timeline::Filter& filter) -> TimelineSource;

/// Reads the entries of a log file; lines that are no entries are skipped.
auto readTimelineFile(const std::string& path, const Timeline::Filter& filter) -> TimelineSource;

} // namespace App
