#include "forwarding/servicetimeestimator.h"

#include <algorithm>

namespace Forwarding {

namespace {

    /// Minimum weight of the newest time in the moving average.
    constexpr double smoothingFactor = 0.1;
    /// Minimum ratio of the cold to the warm service time.
    constexpr double minimumColdRatio = 1.2;
    /// Initial estimates, as multiples of the target latency.
    constexpr double initialWarmShare = 0.5;
    constexpr double initialColdShare = 1.6;

    auto toDuration(double micros) -> Core::Duration
    {
        return Core::Duration(static_cast<Core::Duration::rep>(micros));
    }

} // namespace

auto ServiceTimeEstimator::setInitialEstimate(Core::Duration targetLatency) -> void
{
    if (m_hasInitialEstimate)
        return;
    m_hasInitialEstimate = true;
    const auto micros = static_cast<double>(targetLatency.count());
    m_warm.micros = micros * initialWarmShare;
    m_noObject.micros = micros * initialWarmShare;
    m_cold.micros = micros * initialColdShare;
}

auto ServiceTimeEstimator::record(Core::Duration time, CacheState cacheState) -> void
{
    const auto micros = static_cast<double>(time.count());
    // The assumed cache state may be wrong: another entry VM may already have had the object cached at the upstream,
    // and an object that is assumed to be cached may not have been requested there yet. The measured time
    // distinguishes the two cases.
    const bool looksWarm = micros < (m_warm.micros + m_cold.micros) / 2;
    const bool isCold = cacheState != CacheState::NoObject && !looksWarm;
    m_coldShare += smoothingFactor * ((isCold ? 1.0 : 0.0) - m_coldShare);
    m_noObjectShare += smoothingFactor * ((cacheState == CacheState::NoObject ? 1.0 : 0.0) - m_noObjectShare);
    if (cacheState == CacheState::NoObject)
        m_noObject.add(micros);
    else if (looksWarm)
        m_warm.add(micros);
    else
        m_cold.add(micros);
    m_cold.micros = std::max(m_cold.micros, m_warm.micros * minimumColdRatio);
}

auto ServiceTimeEstimator::mixed() const -> Core::Duration
{
    return toDuration(m_warm.micros + m_coldShare * (m_cold.micros - m_warm.micros)
        + m_noObjectShare * (m_noObject.micros - m_warm.micros));
}

auto ServiceTimeEstimator::replaceWithNext() -> void
{
    for (auto* mean : { &m_warm, &m_cold, &m_noObject })
        mean->samples = 0;
}

auto ServiceTimeEstimator::Mean::add(double value) -> void
{
    ++samples;
    micros += std::max(smoothingFactor, 1.0 / samples) * (value - micros);
}

auto ServiceTimeEstimator::mean(CacheState cacheState) const -> Core::Duration
{
    switch (cacheState) {
    case CacheState::Warm:
        return toDuration(m_warm.micros);
    case CacheState::Cold:
        return toDuration(m_cold.micros);
    case CacheState::NoObject:
        break;
    }
    return toDuration(m_noObject.micros);
}

} // namespace Forwarding
