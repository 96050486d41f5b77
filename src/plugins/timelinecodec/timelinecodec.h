#pragma once

#include "timeline/eventring.h"

#include <optional>

namespace TimelineCodec {

/// Encodes the entry as one line of JSON without a line end. Its members are timeUs, hlc, level, process, event,
/// request and the fields of the event. Bytes that are not valid UTF-8 are replaced.
auto encodeEntry(const Timeline::Entry& entry) -> std::string;

/// Returns nothing if the line is not an entry, for example in a log file that contains other output.
auto decodeEntry(const std::string& line) -> std::optional<Timeline::Entry>;

/// Encodes a page of entries as the response body of GET /v1/timeline.
auto encodePage(const Timeline::Page& page) -> std::string;

auto decodePage(const std::string& text) -> Core::Result<Timeline::Page>;

} // namespace TimelineCodec
