#pragma once

#include "timeline/eventring.h"

namespace AdminFront {

/// Decodes a request target "/v1/timeline?request=&vm=&kind=&sinceUs=&untilUs=&after=&limit=".
auto decodeTimelineQuery(std::string_view target) -> Core::Result<Timeline::PageQuery>;

/// Encodes the query as a request target that decodeTimelineQuery() accepts.
auto encodeTimelineQuery(const Timeline::PageQuery& query) -> std::string;

} // namespace AdminFront
