#pragma once

#include "core/units.h"
#include "organisations/organisation.h"

namespace Quotas {

/// How far the requests that run may exceed a quota in any window, over all VMs together.
struct QuotaBounds {
    Core::Duration window = std::chrono::seconds(5);
    /// Share of rate x window + burst.
    double overshoot = 0.1;
    /// Requests.
    double slack = 20;
};

/// Returns the number of permits that all VMs together may hold unused: what may run in a window beyond the permits
/// that are minted in it.
auto heldTogether(const Organisations::Quota& quota, const QuotaBounds& bounds) -> double;

} // namespace Quotas
