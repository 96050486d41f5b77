#pragma once

#include "metrics/metrics.h"
#include "quotas/fleetquotas.h"

namespace App {

using QuotasAccessor = std::function<const Quotas::FleetQuotas&()>;

/// Adds the metrics of the quotas: per organisation for those with the most requests on this VM, and the messages.
auto withQuotaMetrics(std::vector<Metrics::CallbackMetric> metrics, const QuotasAccessor& quotas)
    -> std::vector<Metrics::CallbackMetric>;

} // namespace App
