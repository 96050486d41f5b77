#include "forwarding/weightedroundrobin.h"

namespace Forwarding {

auto WeightedRoundRobin::next(const Route& route) -> Core::ServiceId
{
    if (route.services.size() == 1)
        return route.services.front().service;
    const std::lock_guard lock(m_mutex);
    auto& currentWeights = m_currentWeights[route.id];
    double total = 0;
    const WeightedService* best = nullptr;
    for (const auto& part : route.services) {
        currentWeights[part.service] += part.weight;
        total += part.weight;
        if (best == nullptr || currentWeights[part.service] > currentWeights[best->service])
            best = &part;
    }
    if (best == nullptr)
        return {};
    currentWeights[best->service] -= total;
    return best->service;
}

} // namespace Forwarding
