#include "forwarding/weightedturns.h"

namespace Forwarding {

auto WeightedTurns::next(const Route& route) -> Core::ServiceId
{
    if (route.services.size() == 1)
        return route.services.front().service;
    const std::lock_guard lock(m_mutex);
    auto& credits = m_credits[route.id];
    double total = 0;
    const WeightedService* best = nullptr;
    for (const auto& part : route.services) {
        credits[part.service] += part.weight;
        total += part.weight;
        if (best == nullptr || credits[part.service] > credits[best->service])
            best = &part;
    }
    if (best == nullptr)
        return {};
    credits[best->service] -= total;
    return best->service;
}

} // namespace Forwarding
