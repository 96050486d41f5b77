#pragma once

#include "metrics/counts.h"
#include "metrics/metrics.h"

namespace Metrics {

/// Counts and readings in the Prometheus text format 0.0.4.
auto prometheusText(const Counts& counts, const std::vector<Reading>& readings) -> std::string;

} // namespace Metrics
