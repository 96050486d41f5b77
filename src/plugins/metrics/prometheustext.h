#pragma once

#include "metrics/counts.h"
#include "metrics/metrics.h"

namespace Metrics {

/// Formats the counts and the callback metrics in the Prometheus text format 0.0.4.
auto prometheusText(const Counts& counts, const std::vector<CallbackMetric>& callbackMetrics) -> std::string;

} // namespace Metrics
