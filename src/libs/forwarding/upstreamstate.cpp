#include "forwarding/upstreamstate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Forwarding {

namespace {

    /// Failures in a row after which an upstream is asked for its health before it gets requests.
    constexpr std::uint32_t failuresToEject = 2;
    constexpr Core::Millis firstProbeDelay { 400 };
    constexpr Core::Millis longestProbeDelay { 3000 };
    constexpr Core::Millis refusalPause { 60 };
    /// No upstream is down and up again in less.
    constexpr Core::Millis shortestRestart { 2000 };
    /// No probe takes longer while this process runs.
    constexpr Core::Millis longestProbe { 1500 };
    /// Share of the newest outcome in the failure share.
    constexpr double newestOutcomeShare = 0.15;
    /// Time after which a reported load counts half.
    constexpr Core::Millis loadHalfLife { 700 };
    /// Objects that an upstream is taken to know; the longest unused one is dropped.
    constexpr std::size_t rememberedObjects = 24;

    auto probeDelay(std::uint32_t failedProbes) -> Core::Duration
    {
        return std::min<Core::Duration>(longestProbeDelay, firstProbeDelay * (1U << std::min(failedProbes, 4U)));
    }

} // namespace

UpstreamState::UpstreamState(UpstreamEntry entry)
    : m_entry(std::move(entry))
    , m_coldUntil(m_entry.coldUntil)
{
}

auto UpstreamState::update(const UpstreamEntry& entry) -> void
{
    m_entry = entry;
    m_isListed = true;
    m_coldUntil = std::max(m_coldUntil, entry.coldUntil);
}

auto UpstreamState::begin(Core::Instant now) -> void
{
    if (m_inFlight++ == 0)
        m_lastHeard = now;
}

auto UpstreamState::end(const std::optional<Ports::ReportedLoad>& load, Core::Instant now) -> void
{
    if (load) {
        m_lastHeard = now;
        m_lastAnswer = now;
        // The report counts the request that it answers.
        m_othersLoad = std::max(0.0, static_cast<double>(load->running + load->waiting) - m_inFlight);
        m_reportedAt = now;
    }
    --m_inFlight;
}

auto UpstreamState::recordHealth(Health health, Core::Instant now) -> void
{
    m_failureShare += newestOutcomeShare * ((health == Health::Good ? 0.0 : 1.0) - m_failureShare);
    if (health == Health::Good) {
        m_consecutiveBad = 0;
        return;
    }
    if (health == Health::Refusing) {
        m_pausedUntil = now + refusalPause;
        return;
    }
    if (++m_consecutiveBad >= failuresToEject)
        eject(now);
}

auto UpstreamState::eject(Core::Instant now) -> void
{
    if (m_isEjected)
        return;
    m_isEjected = true;
    m_failedProbes = 0;
    m_probeAt = now + firstProbeDelay;
}

auto UpstreamState::beginProbe(Core::Instant now) -> void
{
    m_isProbing = true;
    m_probeStartedAt = now;
}

auto UpstreamState::recordProbe(const Core::Result<Ports::HealthReport>& report, Core::Instant now) -> bool
{
    m_isProbing = false;
    if (now - m_probeStartedAt >= longestProbe) {
        // The answer waited while this process was held up.
        m_probeAt = now;
        return false;
    }
    if (!report)
        return recordFailedProbe(report.error().kind, now);
    if (report->coldLeft.count() > 0)
        setCold(now + report->coldLeft);
    if (report->isHealthy && report->id == m_entry.target.id)
        return recordGoodProbe(*report, now);
    if (!report->isHealthy && !m_isEjected) {
        // It leaves or is full, and has not started again.
        endDoubt(now);
        return false;
    }
    return recordFailedProbe(Core::ErrorKind::Unavailable, now);
}

auto UpstreamState::recordGoodProbe(const Ports::HealthReport& report, Core::Instant now) -> bool
{
    const bool wasDown = std::exchange(m_isKnownDown, false);
    endDoubt(now);
    m_isEjected = false;
    m_failedProbes = 0;
    m_consecutiveBad = 0;
    m_failureShare /= 2;
    return wasDown || report.coldLeft.count() > 0;
}

auto UpstreamState::doubt() -> void
{
    m_isDoubtful = true;
    m_isProbeWanted = true;
}

auto UpstreamState::endDoubt(Core::Instant now) -> void
{
    m_isDoubtful = false;
    m_isProbeWanted = false;
    m_lastAnswer = now;
}

auto UpstreamState::recordFailedProbe(Core::ErrorKind kind, Core::Instant now) -> bool
{
    ++m_failedProbes;
    m_probeAt = now + probeDelay(m_failedProbes);
    // A full upstream answers late.
    if (kind == Core::ErrorKind::Timeout)
        return false;
    m_isEjected = true;
    return kind == Core::ErrorKind::Unreachable && !std::exchange(m_isKnownDown, true);
}

auto UpstreamState::learn(bool isHealthy, Core::Duration coldLeft, Core::Instant now) -> void
{
    if (coldLeft.count() > 0)
        setCold(now + coldLeft);
    if (isHealthy && m_isEjected)
        m_probeAt = now;
    if (!isHealthy && !std::exchange(m_isEjected, true))
        m_probeAt = now + firstProbeDelay;
}

auto UpstreamState::setCold(Core::Instant until) -> void
{
    m_coldUntil = std::max(m_coldUntil, until);
    m_objects.clear();
}

auto UpstreamState::requireProbe(Core::Instant now) -> void
{
    if (std::exchange(m_isEjected, true))
        return;
    m_failedProbes = 0;
    m_probeAt = now;
}

auto UpstreamState::remember(const ObjectKey& object, Core::Instant now) -> void
{
    m_objects[object] = now;
    if (m_objects.size() > rememberedObjects)
        forgetOldest();
}

auto UpstreamState::forgetOldest() -> void
{
    const auto oldest = std::min_element(
        m_objects.begin(), m_objects.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    m_objects.erase(oldest);
}

auto UpstreamState::isUsable(Core::Instant now) const -> bool
{
    return m_isListed && !m_entry.isDraining && !m_isEjected && now >= m_pausedUntil;
}

auto UpstreamState::isProbeDue(Core::Instant now) const -> bool
{
    return m_isListed && (m_isEjected || m_isProbeWanted) && !m_isProbing && !m_entry.isDraining && now >= m_probeAt;
}

auto UpstreamState::mayHaveRestarted(Core::Instant now) const -> bool { return now - m_lastAnswer >= shortestRestart; }

auto UpstreamState::occupancy(double meanOfOthers, Core::Instant now) const -> double
{
    const double halfLives = static_cast<double>((now - m_reportedAt).count())
        / static_cast<double>(std::chrono::duration_cast<Core::Duration>(loadHalfLife).count());
    return m_inFlight + meanOfOthers + (m_othersLoad - meanOfOthers) * std::exp2(-halfLives);
}

auto UpstreamState::silentSince() const -> std::optional<Core::Instant>
{
    if (m_inFlight == 0)
        return std::nullopt;
    return m_lastHeard;
}

auto UpstreamState::hasColdAllowance(Core::Instant now) const -> bool { return now >= m_coldAllowanceAt; }

auto UpstreamState::takeColdAllowance(double perSecond, Core::Instant now) -> void
{
    if (perSecond > 0)
        m_coldAllowanceAt = now + Core::Duration(static_cast<Core::Duration::rep>(1e6 / perSecond));
}

} // namespace Forwarding
