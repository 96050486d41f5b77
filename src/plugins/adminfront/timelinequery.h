#pragma once

#include "timeline/eventring.h"

namespace AdminFront {

/// Decodes "/v1/timeline?request=&vm=&kind=&sinceUs=&untilUs=&after=&limit=".
auto decodeTimelineQuery(std::string_view target) -> Core::Result<Timeline::PageQuery>;

/// Target that decodes to the query.
auto encodeTimelineQuery(const Timeline::PageQuery& query) -> std::string;

} // namespace AdminFront
