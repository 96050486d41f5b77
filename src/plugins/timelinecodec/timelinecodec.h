#pragma once

#include "timeline/eventring.h"

#include <optional>

namespace TimelineCodec {

/// One line of JSON without line end: timeUs, hlc, level, process, event, request, and the event's fields beside them.
/// Bytes that are not UTF-8 are replaced.
auto encodeEntry(const Timeline::Entry& entry) -> std::string;

/// Empty when the line is not an entry, for example in a log file with other output.
auto decodeEntry(const std::string& line) -> std::optional<Timeline::Entry>;

/// Page of one process as GET /v1/timeline answers it.
auto encodePage(const Timeline::Page& page) -> std::string;

auto decodePage(const std::string& text) -> Core::Result<Timeline::Page>;

} // namespace TimelineCodec
