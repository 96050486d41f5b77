#pragma once

#include "forwarding/routingconfiguration.h"

#include <mutex>

namespace Forwarding {

/// Distributes the requests of each route over its services by smooth weighted round robin, so that any sequence of
/// consecutive requests approximates the weights.
class WeightedRoundRobin {
public:
    /// Returns the service for the next request on the route.
    auto next(const Route& route) -> Core::ServiceId;

private:
    /// Current weight of each service of one route; the service with the highest one is next.
    using CurrentWeights = std::map<Core::ServiceId, double>;

    std::mutex m_mutex;
    std::unordered_map<RouteId, CurrentWeights> m_currentWeights;
};

} // namespace Forwarding
