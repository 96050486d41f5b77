#include "dispatch/slotreserve.h"

#include <cmath>

namespace Dispatch {

namespace {

    /// Number of standard deviations of the slots in use to reserve on top of the mean, as in square-root staffing of
    /// queues with Poisson arrivals.
    constexpr double safetyFactor = 1.5;

} // namespace

auto SlotReserve::recordArrival(Core::Duration serviceTime, Core::Instant now) -> void
{
    m_recentArrivals.add(serviceTime, now);
}

auto SlotReserve::slots(Core::Instant now) const -> std::uint32_t
{
    const auto load = m_recentArrivals.slots(now);
    const auto wanted = std::floor(load + safetyFactor * std::sqrt(load));
    return wanted > m_inFlight ? static_cast<std::uint32_t>(wanted) - m_inFlight : 0;
}

} // namespace Dispatch
