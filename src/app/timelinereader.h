#pragma once

#include "timeline/eventring.h"

#include <vector>

namespace App {

/// Entries read from one source of a timeline.
struct TimelineSource {
    /// Address or file name.
    std::string name;
    std::vector<Timeline::Entry> entries;
    /// Number of entries that the process no longer holds.
    std::uint64_t dropped = 0;
    /// Set if the source could not be read, or only in part.
    std::optional<Core::Error> error;
};

/// Fetches the entries of an entry VM, page by page. Blocks for at most a few seconds if the VM does not answer.
auto fetchTimeline(const Core::Address& address, const Timeline::Filter& filter) -> TimelineSource;

/// Reads the entries of a log file. Skips lines that are not entries.
auto readTimelineFile(const std::string& path, const Timeline::Filter& filter) -> TimelineSource;

} // namespace App
