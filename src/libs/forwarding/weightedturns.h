#pragma once

#include "forwarding/routingconfiguration.h"

#include <mutex>

namespace Forwarding {

/// Deals the requests of each route out to its services in turn, so that every run of requests comes close to the
/// weights. Source: smooth weighted round robin.
class WeightedTurns {
public:
    /// Service of the next request on the route.
    auto next(const Route& route) -> Core::ServiceId;

private:
    /// Credit of each service of one route; the highest goes next.
    using Credits = std::map<Core::ServiceId, double>;

    std::mutex m_mutex;
    std::unordered_map<RouteId, Credits> m_credits;
};

} // namespace Forwarding
