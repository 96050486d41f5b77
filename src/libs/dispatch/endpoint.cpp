#include "dispatch/endpoint.h"

#include "core/invariant.h"

#include <algorithm>
#include <cmath>

namespace Dispatch {

namespace {

    constexpr std::uint32_t failuresToEject = 3;
    constexpr Core::Millis initialEjectionTime { 1000 };
    constexpr Core::Millis initialPause { 10 };
    /// Number of doublings after which the backoff of ejections and pauses stops growing.
    constexpr std::uint32_t maximumDoublings = 5;
    constexpr Core::Millis reportLifetime { 2000 };
    /// Time during which an announced drain takes precedence over load reports that deny it.
    constexpr Core::Millis minimumDrainTime { 10'000 };

    auto backoff(Core::Duration base, std::uint32_t times) -> Core::Duration
    {
        return base * (1U << std::min(times, maximumDoublings));
    }

} // namespace

Endpoint::Endpoint(Fleet::Upstream upstream, Core::Instant now, Core::Duration slowStart, bool isCold)
    : m_upstream(std::move(upstream))
    , m_rampStart(now)
    , m_rampTime(isCold ? slowStart : Core::Duration::zero())
{
}

auto Endpoint::update(const Fleet::Upstream& upstream, bool isOwn) -> void
{
    m_upstream = upstream;
    m_isOwn = isOwn;
}

auto Endpoint::begin(Core::Instant now) -> void
{
    Core::invariant(hasFreeSlot(now), "dispatch.slots-never-exceeded");
    ++m_inFlight;
}

auto Endpoint::end() -> void
{
    Core::invariant(m_inFlight > 0, "dispatch.slots-balanced");
    --m_inFlight;
}

auto Endpoint::recordHealth(Health health, Core::Instant now) -> void
{
    if (health == Health::Neutral)
        return;
    if (health == Health::Bad) {
        ++m_consecutiveFailures;
        m_pausedUntil = now + backoff(initialPause, m_consecutiveFailures);
        return;
    }
    m_consecutiveFailures = 0;
    m_consecutiveSheds = 0;
    if (m_state == State::HalfOpen) {
        m_state = State::Active;
        m_ejections = 0;
        m_rampStart = now;
    }
}

auto Endpoint::pauseAfterShed(Core::Instant now) -> void
{
    m_pausedUntil = now + backoff(initialPause, m_consecutiveSheds++);
}

auto Endpoint::markDraining(Core::Instant now) -> void
{
    m_isDraining = true;
    m_drainingSince = now;
}

auto Endpoint::applyLoadReport(const Ports::LoadReport& report, Core::Instant now, Core::Duration slowStart) -> void
{
    m_reportedAt = now;
    const auto busy = report.busy.value();
    m_reportedOtherLoad = busy > m_inFlight ? busy - m_inFlight : 0;
    m_reportsDraining = report.isDraining;
    if (m_isDraining && !report.isDraining && now - m_drainingSince >= minimumDrainTime) {
        m_isDraining = false;
        m_rampStart = now;
        m_rampTime = slowStart;
    }
}

auto Endpoint::eject(Core::Instant now) -> void
{
    m_state = State::Ejected;
    m_probeAt = now + backoff(initialEjectionTime, m_ejections++);
}

auto Endpoint::startHalfOpen() -> void
{
    m_state = State::HalfOpen;
    m_consecutiveFailures = failuresToEject - 1;
}

auto Endpoint::isUsable() const -> bool
{
    return m_isOwn && !m_isDraining && m_state != State::Ejected && m_upstream.state == Fleet::MemberState::Live;
}

auto Endpoint::shouldBeEjected() const -> bool
{
    return m_state != State::Ejected && m_consecutiveFailures >= failuresToEject;
}

auto Endpoint::isProbeDue(Core::Instant now) const -> bool { return m_state == State::Ejected && now >= m_probeAt; }

auto Endpoint::hasFreeSlot(Core::Instant now) const -> bool
{
    return isUsable() && now >= m_pausedUntil && m_inFlight < allowedSlots(now);
}

auto Endpoint::allowedSlots(Core::Instant now) const -> std::uint32_t
{
    const auto slots = m_upstream.slots.value();
    if (m_state == State::HalfOpen)
        return std::min(slots, 1U);
    const auto elapsed = now - m_rampStart;
    if (elapsed >= m_rampTime)
        return slots;
    const auto share = static_cast<double>(elapsed.count()) / static_cast<double>(m_rampTime.count());
    return std::clamp(static_cast<std::uint32_t>(std::ceil(share * slots)), std::min(slots, 1U), slots);
}

auto Endpoint::utilization(Core::Instant now) const -> double
{
    const bool isFresh = m_reportedAt != Core::Instant() && now - m_reportedAt < reportLifetime;
    const auto hint = isFresh ? std::min(m_reportedOtherLoad, 1U) : 0U;
    return static_cast<double>(m_inFlight + hint) / std::max(1U, allowedSlots(now));
}

} // namespace Dispatch
