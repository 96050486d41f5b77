#include "admission/waitingorder.h"

#include <tuple>

namespace Admission {

namespace {

    /// Values by which a request is ordered; the smallest goes first.
    auto costKey(const Demand& demand, const WorkShares& shares, Core::Instant now)
    {
        const bool isLate = now > demand.inTimeUntil;
        const auto latestStart = isLate ? demand.servableUntil : demand.inTimeUntil;
        return std::tuple(isLate, shares.isOverFairShare(demand.organisation, now), latestStart, demand.askedAt);
    }

} // namespace

auto LeastCostOrder::precedes(const Demand& a, const Demand& b, const WorkShares& shares, Core::Instant now) const
    -> bool
{
    if (a.urgency == b.urgency)
        return costKey(a, shares, now) < costKey(b, shares, now);
    const bool isLessUrgent = a.urgency > b.urgency;
    const auto& lessUrgent = isLessUrgent ? a.urgency : b.urgency;
    const bool isBelowFloor = shares.shareFrom(lessUrgent, now) < lessUrgentFloor;
    return isLessUrgent == isBelowFloor;
}

auto FirstComeOrder::precedes(const Demand& a, const Demand& b, const WorkShares&, Core::Instant) const -> bool
{
    return a.askedAt < b.askedAt;
}

auto PriorityOrder::precedes(const Demand& a, const Demand& b, const WorkShares&, Core::Instant) const -> bool
{
    return std::tie(a.urgency, a.askedAt) < std::tie(b.urgency, b.askedAt);
}

} // namespace Admission
