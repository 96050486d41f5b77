#include "forwarding/routeservicetimes.h"

#include <algorithm>

namespace Forwarding {

namespace {

    /// An upstream counts as unresponsive after this multiple of the longest usual service time without an answer.
    constexpr int responseTimeFactor = 2;
    constexpr Core::Millis minimumResponseTimeLimit { 700 };

} // namespace

RouteServiceTime::RouteServiceTime(Core::Duration targetLatency) { m_estimator.setInitialEstimate(targetLatency); }

auto RouteServiceTime::record(Core::Duration time, CacheState cacheState, Core::Instant now) -> void
{
    m_estimator.record(time, cacheState);
    m_lastAnswer = now;
    m_trialInterval = initialTrialInterval;
}

auto RouteServiceTime::tryTrial(Core::Instant now) -> bool
{
    if (now < m_nextTrial || now - m_lastAnswer < initialTrialInterval)
        return false;
    m_nextTrial = now + m_trialInterval;
    m_trialInterval = std::min<Core::Duration>(m_trialInterval * 2, maximumTrialInterval);
    m_estimator.replaceWithNext();
    return true;
}

auto RouteServiceTime::responseTimeLimit() const -> Core::Duration
{
    const auto longest = std::max(mean(CacheState::Cold), mean(CacheState::NoObject));
    return std::max<Core::Duration>(minimumResponseTimeLimit, longest * responseTimeFactor);
}

auto RouteServiceTimes::at(const RouteId& route, Core::Duration targetLatency, Core::Instant now) -> RouteServiceTime&
{
    auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        if (m_routes.size() >= maximumRoutes)
            forgetLeastRecentlyUsed();
        found = m_routes.emplace(route, Entry { RouteServiceTime(targetLatency), now }).first;
    }
    found->second.lastUse = now;
    return found->second.time;
}

auto RouteServiceTimes::record(const RouteId& route, Core::Duration time, CacheState cacheState, Core::Instant now)
    -> void
{
    if (const auto found = m_routes.find(route); found != m_routes.end())
        found->second.time.record(time, cacheState, now);
}

auto RouteServiceTimes::forgetLeastRecentlyUsed() -> void
{
    m_routes.erase(std::min_element(m_routes.begin(), m_routes.end(),
        [](const auto& a, const auto& b) { return a.second.lastUse < b.second.lastUse; }));
}

} // namespace Forwarding
