#include "dispatch/slotreserve.h"

#include <cmath>

namespace Dispatch {

namespace {

    /// Time after which an arrival counts for 1/e.
    constexpr Core::Millis memory { 2000 };
    /// Standard deviations of the slots in use, as in square-root staffing of queues with Poisson arrivals.
    constexpr double safetyFactor = 1.5;

} // namespace

auto SlotReserve::recordArrival(Core::Duration serviceTime, Core::Instant now) -> void
{
    m_recentMicros = decayed(now) + static_cast<double>(serviceTime.count());
    m_updatedAt = now;
}

auto SlotReserve::slots(Core::Instant now) const -> std::uint32_t
{
    const auto load = decayed(now) / static_cast<double>(Core::Duration(memory).count());
    const auto wanted = std::floor(load + safetyFactor * std::sqrt(load));
    return wanted > m_inFlight ? static_cast<std::uint32_t>(wanted) - m_inFlight : 0;
}

auto SlotReserve::decayed(Core::Instant now) const -> double
{
    const auto age = static_cast<double>((now - m_updatedAt).count());
    return m_recentMicros * std::exp(-age / static_cast<double>(Core::Duration(memory).count()));
}

} // namespace Dispatch
