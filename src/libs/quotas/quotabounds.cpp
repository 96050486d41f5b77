#include "quotas/quotabounds.h"

namespace Quotas {

namespace {

    /// The rest of the rate's overshoot is for permits that come back unused, and for VMs that do not know yet that the
    /// fleet has grown.
    constexpr double heldOvershootShare = 0.5;

} // namespace

auto heldTogether(const Organisations::Quota& quota, const QuotaBounds& bounds) -> double
{
    const auto perWindow = quota.rate * std::chrono::duration<double>(bounds.window).count();
    return quota.burst * (1 + bounds.overshoot) + perWindow * bounds.overshoot * heldOvershootShare + bounds.slack;
}

} // namespace Quotas
