#include "steering/movementlimiter.h"

#include "core/invariant.h"

#include <algorithm>

namespace Steering {

namespace {

    constexpr Core::Millis minimumInterval { 1 };

} // namespace

auto MovementLimiter::countArrival(Core::Instant now, const Limits& limits) -> void
{
    const std::lock_guard lock(m_mutex);
    advance(now, limits);
    ++m_arrivals;
}

auto MovementLimiter::tryTake(const Core::RegionId& region, Core::Instant now, const Limits& limits) -> bool
{
    const std::lock_guard lock(m_mutex);
    advance(now, limits);
    auto& movement = m_movements[region];
    if (movement.moved >= allowance(movement, limits))
        return false;
    ++movement.moved;
    const auto basis = std::max(m_arrivals, m_previousArrivals);
    const auto share = std::min(1.0, movement.previousShare + limits.cap.value());
    Core::invariant(movement.moved <= 1 || static_cast<double>(movement.moved) <= share * static_cast<double>(basis),
        "steering.movement-within-cap");
    return true;
}

auto MovementLimiter::release(const Core::RegionId& region) -> void
{
    const std::lock_guard lock(m_mutex);
    if (auto& movement = m_movements[region]; movement.moved > 0)
        --movement.moved;
}

auto MovementLimiter::advance(Core::Instant now, const Limits& limits) -> void
{
    if (now < m_intervalEnd)
        return;
    const auto interval = std::max<Core::Duration>(limits.interval, minimumInterval);
    // After more than a whole interval without arrivals, the previous shares and arrivals no longer apply.
    const auto isNextInterval = now < m_intervalEnd + interval;
    for (auto& [region, movement] : m_movements) {
        const auto share
            = m_arrivals == 0 ? 0.0 : static_cast<double>(movement.moved) / static_cast<double>(m_arrivals);
        // Falling traffic must not raise the share above the limit of the interval that ends.
        const auto allowed = std::min(1.0, movement.previousShare + limits.cap.value());
        movement = { 0, isNextInterval ? std::min(allowed, share) : 0.0 };
    }
    m_previousArrivals = isNextInterval ? m_arrivals : 0;
    m_arrivals = 0;
    m_intervalEnd = now + interval;
}

auto MovementLimiter::allowance(const Movement& movement, const Limits& limits) const -> std::uint64_t
{
    if (limits.cap.value() <= 0)
        return 0;
    const auto share = std::min(1.0, movement.previousShare + limits.cap.value());
    const auto basis = static_cast<double>(std::max(m_arrivals, m_previousArrivals));
    return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(share * basis));
}

} // namespace Steering
