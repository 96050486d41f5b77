#pragma once

#include "forwarding/routingconfiguration.h"
#include "forwarding/servicetimeestimator.h"

#include <unordered_map>

namespace Forwarding {

/// Estimates the time that the requests of one route take. Also decides when a request is sent although the estimate
/// says that it can't be answered in time: only answers correct the estimate, and without such a trial there are none.
class RouteServiceTime {
public:
    /// Without an answer for this long, a request may be tried against the estimate.
    static constexpr Core::Millis initialTrialInterval { 1000 };
    /// The interval doubles with each trial up to this, and starts anew with the next answer.
    static constexpr Core::Millis maximumTrialInterval { 8000 };

    explicit RouteServiceTime(Core::Duration targetLatency);

    auto record(Core::Duration time, CacheState cacheState, Core::Instant now) -> void;
    /// Returns true if a request may be sent against the estimate now. The next answer then replaces the estimate.
    [[nodiscard]] auto tryTrial(Core::Instant now) -> bool;
    [[nodiscard]] auto mean(CacheState cacheState) const -> Core::Duration { return m_estimator.mean(cacheState); }
    /// Returns the time without an answer after which an upstream counts as unresponsive.
    [[nodiscard]] auto responseTimeLimit() const -> Core::Duration;

private:
    ServiceTimeEstimator m_estimator;
    Core::Instant m_lastAnswer;
    Core::Instant m_nextTrial;
    Core::Duration m_trialInterval { initialTrialInterval };
};

/// Service times of the routes of one service. Routes differ in the work that they ask for, so that the time of one
/// says nothing about another.
class RouteServiceTimes {
public:
    /// Upper bound on the routes that are remembered; the least recently used one is forgotten.
    static constexpr std::size_t maximumRoutes = 256;

    /// Returns the times of the route. Those of a new route are derived from its target latency.
    auto at(const RouteId& route, Core::Duration targetLatency, Core::Instant now) -> RouteServiceTime&;
    /// Records the time of an answer, unless the route has been forgotten.
    auto record(const RouteId& route, Core::Duration time, CacheState cacheState, Core::Instant now) -> void;
    [[nodiscard]] auto size() const -> std::size_t { return m_routes.size(); }

private:
    struct Entry {
        RouteServiceTime time;
        Core::Instant lastUse;
    };

    auto forgetLeastRecentlyUsed() -> void;

    std::unordered_map<RouteId, Entry> m_routes;
};

} // namespace Forwarding
