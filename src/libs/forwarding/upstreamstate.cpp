#include "forwarding/upstreamstate.h"

#include "core/invariant.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Forwarding {

namespace {

    /// Number of consecutive failures after which an upstream is ejected.
    constexpr std::uint32_t failuresToEject = 2;
    constexpr Core::Millis initialProbeDelay { 400 };
    constexpr Core::Millis maximumProbeDelay { 3000 };
    constexpr Core::Millis refusalBackoff { 60 };
    /// Lower bound on the time that an upstream takes to restart.
    constexpr Core::Millis minimumRestartTime { 2000 };
    /// Time for which an upstream is remembered as leaving after its entry is gone.
    constexpr std::chrono::minutes leavingRetention { 5 };
    /// Upper bound on the duration of a probe while this process is running.
    constexpr Core::Millis maximumProbeTime { 1500 };
    /// Difference between two reports of the same cold time that is due to delays.
    constexpr Core::Millis coldReportTolerance { 300 };
    /// Weight of the newest outcome in the failure share.
    constexpr double failureSmoothingFactor = 0.15;
    /// Half-life of a reported load.
    constexpr Core::Millis loadHalfLife { 700 };
    /// Number of objects that an upstream is assumed to have cached; the least recently used one is evicted.
    constexpr std::size_t maximumCachedObjects = 24;

    auto probeDelay(std::uint32_t failedProbes) -> Core::Duration
    {
        return std::min<Core::Duration>(maximumProbeDelay, initialProbeDelay * (1U << std::min(failedProbes, 4U)));
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

auto UpstreamState::beginExchange(const OpenExchange& exchange) -> void { m_openExchanges.push_back(exchange); }

auto UpstreamState::endExchange(
    const OpenExchange& exchange, const std::optional<Ports::ReportedLoad>& load, Core::Instant now) -> void
{
    if (load)
        recordLoad(*load, now);
    const auto ended = std::find(m_openExchanges.begin(), m_openExchanges.end(), exchange);
    if (ended != m_openExchanges.end())
        m_openExchanges.erase(ended);
}

auto UpstreamState::recordLoad(const Ports::ReportedLoad& load, Core::Instant now) -> void
{
    m_lastAnswer = now;
    // The reported load includes the request that it answers.
    m_othersLoad = std::max(0.0, static_cast<double>(load.running + load.waiting) - ownLoad());
    m_reportedAt = now;
    if (load.workTime)
        m_workTime.record(*load.workTime, now);
}

auto UpstreamState::beginBody(
    const OpenExchange& exchange, const std::optional<Ports::ReportedLoad>& load, Core::Instant now) -> void
{
    endExchange(exchange, load, now);
    ++m_openBodies;
}

auto UpstreamState::endBody() -> void
{
    Core::invariant(m_openBodies > 0, "forwarding.bodies-balanced");
    --m_openBodies;
}

auto UpstreamState::applySignals(const Ports::UpstreamSignals& signals, Core::Instant now) -> Ports::UpstreamSignals
{
    Ports::UpstreamSignals news;
    if (signals.isLeaving && !m_saysLeavingAt) {
        m_saysLeavingAt = now;
        news.isLeaving = true;
    }
    if (signals.pause.count() > 0) {
        news.pause = isPaused(now) ? Core::Duration(0) : signals.pause;
        m_pausedUntil = std::max(m_pausedUntil, now + signals.pause);
    }
    return news;
}

auto UpstreamState::inheritSignals(const UpstreamState& earlier, Core::Instant now) -> void
{
    m_pausedUntil = std::max(m_pausedUntil, earlier.m_pausedUntil);
    // The answer to a health check says which of the two is leaving.
    if (earlier.m_saysLeavingAt)
        requireProbe(now);
}

auto UpstreamState::isRemovable(Core::Instant now) const -> bool
{
    // The list may show the same incarnation again, for example after an outage of the store.
    const bool saysLeaving = m_saysLeavingAt && now - *m_saysLeavingAt < leavingRetention;
    return !m_isListed && !isBusy() && !m_isProbing && !saysLeaving && !isPaused(now);
}

auto UpstreamState::recordHealthSignal(HealthSignal signal, Core::Instant now) -> void
{
    m_failureShare += failureSmoothingFactor * ((signal == HealthSignal::Success ? 0.0 : 1.0) - m_failureShare);
    if (signal == HealthSignal::Success) {
        m_consecutiveFailures = 0;
        return;
    }
    if (signal == HealthSignal::Refusal) {
        m_backoffUntil = now + refusalBackoff;
        return;
    }
    if (++m_consecutiveFailures >= failuresToEject)
        eject(now);
}

auto UpstreamState::eject(Core::Instant now) -> void
{
    if (m_isEjected)
        return;
    m_isEjected = true;
    m_failedProbes = 0;
    m_probeAt = now + initialProbeDelay;
}

auto UpstreamState::beginProbe(Core::Instant now) -> void
{
    m_isProbing = true;
    m_probeStartedAt = now;
}

auto UpstreamState::recordProbe(const Core::Result<Ports::HealthReport>& report, Core::Instant now) -> bool
{
    m_isProbing = false;
    if (now - m_probeStartedAt >= maximumProbeTime) {
        // This process was paused before it handled the result, which is therefore out of date.
        m_probeAt = now;
        return false;
    }
    if (!report)
        return recordFailedProbe(report.error().kind, now);
    (void)applySignals(report->signals, now);
    const bool hasBecomeCold = isColdNews(report->coldRemaining, now);
    if (report->coldRemaining.count() > 0)
        setCold(now + report->coldRemaining);
    if (report->isHealthy && report->id == m_entry.target.id)
        return recordGoodProbe(now) || hasBecomeCold;
    if (!report->isHealthy && !m_isEjected) {
        // The upstream is draining or full, but has not restarted.
        markVerified(now);
        return false;
    }
    return recordFailedProbe(Core::ErrorKind::Unavailable, now);
}

auto UpstreamState::isColdNews(Core::Duration coldRemaining, Core::Instant now) const -> bool
{
    return coldRemaining.count() > 0 && now + coldRemaining > m_coldUntil + coldReportTolerance;
}

auto UpstreamState::recordGoodProbe(Core::Instant now) -> bool
{
    const bool wasDown = std::exchange(m_isKnownDown, false);
    markVerified(now);
    m_isEjected = false;
    m_failedProbes = 0;
    m_consecutiveFailures = 0;
    m_failureShare /= 2;
    return wasDown;
}

auto UpstreamState::markUnverified() -> void { m_isUnverified = true; }

auto UpstreamState::markVerified(Core::Instant now) -> void
{
    m_isUnverified = false;
    m_isProbeRequested = false;
    m_lastAnswer = now;
}

auto UpstreamState::recordFailedProbe(Core::ErrorKind kind, Core::Instant now) -> bool
{
    ++m_failedProbes;
    m_probeAt = now + probeDelay(m_failedProbes);
    // A full upstream may answer too late, so a timeout does not mean that it has failed.
    // An internal error is a failure of this VM.
    if (kind == Core::ErrorKind::Timeout || kind == Core::ErrorKind::Internal)
        return false;
    m_isEjected = true;
    return kind == Core::ErrorKind::Unreachable && !std::exchange(m_isKnownDown, true);
}

auto UpstreamState::applyNotice(bool isHealthy, Core::Duration coldRemaining, Core::Instant now) -> bool
{
    const bool wasDown = std::exchange(m_isKnownDown, !isHealthy);
    const bool isNews = wasDown == isHealthy || isColdNews(coldRemaining, now);
    if (coldRemaining.count() > 0)
        setCold(now + coldRemaining);
    if (isHealthy && m_isEjected)
        m_probeAt = now;
    if (!isHealthy && !std::exchange(m_isEjected, true))
        m_probeAt = now + initialProbeDelay;
    return isNews;
}

auto UpstreamState::setCold(Core::Instant until) -> void
{
    m_coldUntil = std::max(m_coldUntil, until);
    m_cachedObjects.clear();
}

auto UpstreamState::requireProbe(Core::Instant now) -> void
{
    if (std::exchange(m_isEjected, true))
        return;
    m_failedProbes = 0;
    m_probeAt = now;
}

auto UpstreamState::recordCachedObject(const ObjectKey& object, Core::Instant now) -> void
{
    m_cachedObjects[object] = now;
    if (m_cachedObjects.size() > maximumCachedObjects)
        evictOldestObject();
}

auto UpstreamState::evictOldestObject() -> void
{
    const auto oldest = std::min_element(m_cachedObjects.begin(), m_cachedObjects.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    m_cachedObjects.erase(oldest);
}

auto UpstreamState::isUsable(Core::Instant now) const -> bool
{
    return !isLeaving() && !isPaused(now) && !m_isEjected && now >= m_backoffUntil;
}

auto UpstreamState::isProbeDue(Core::Instant now) const -> bool
{
    if (isLeaving() || isPaused(now) || m_isProbing)
        return false;
    return (m_isUnverified || isProbeUrgent()) && now >= m_probeAt;
}

auto UpstreamState::mayHaveRestarted(Core::Instant now) const -> bool
{
    return now - m_lastAnswer >= minimumRestartTime;
}

auto UpstreamState::occupancy(double meanOfOthers, Core::Instant now) const -> double
{
    const double halfLives = static_cast<double>((now - m_reportedAt).count())
        / static_cast<double>(std::chrono::duration_cast<Core::Duration>(loadHalfLife).count());
    return ownLoad() + meanOfOthers + (m_othersLoad - meanOfOthers) * std::exp2(-halfLives);
}

auto UpstreamState::isUnresponsive(Core::Instant now) const -> bool
{
    return std::any_of(m_openExchanges.begin(), m_openExchanges.end(), [&](const OpenExchange& exchange) {
        return now - std::max(exchange.startedAt, m_lastActivity) >= exchange.responseTimeLimit;
    });
}

auto UpstreamState::hasColdAllowance(Core::Instant now) const -> bool { return now >= m_coldAllowanceAt; }

auto UpstreamState::takeColdAllowance(double perSecond, Core::Instant now) -> void
{
    if (perSecond > 0)
        m_coldAllowanceAt = now + Core::Duration(static_cast<Core::Duration::rep>(1e6 / perSecond));
}

} // namespace Forwarding
