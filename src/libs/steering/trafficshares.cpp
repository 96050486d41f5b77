#include "steering/trafficshares.h"

#include <algorithm>

namespace Steering {

namespace {

    /// Utilization up to which a failure domain takes all that prefers it.
    constexpr double fullShareUtilization = 0.8;
    /// Part that an overloaded failure domain still takes, so that its recovery is seen.
    constexpr double minimumAvailability = 0.05;
    constexpr double negligibleShare = 1e-6;

    auto availability(const DomainState& domain) -> double
    {
        const auto free = (1 - domain.utilization) / (1 - fullShareUtilization);
        return std::clamp(free, minimumAvailability, 1.0);
    }

    auto shareOf(const TrafficShares& shares, const Core::FailureDomainId& id) -> double
    {
        const auto found = shares.find(id);
        return found == shares.end() ? 0 : found->second;
    }

    auto spread(TrafficShares& shares, double amount, const std::vector<DomainState>& domains) -> void
    {
        double sum = 0;
        for (const auto& domain : domains)
            sum += domain.weight;
        for (const auto& domain : domains)
            shares[domain.id] += amount * domain.weight / sum;
    }

    /// Those that can take work; all of them when no failure domain has a weight or usable upstreams.
    auto eligible(const std::vector<DomainState>& domains) -> std::vector<DomainState>
    {
        std::vector<DomainState> chosen;
        std::copy_if(domains.begin(), domains.end(), std::back_inserter(chosen),
            [](const DomainState& domain) { return domain.isUsable && domain.weight > 0; });
        if (!chosen.empty())
            return chosen;
        chosen = domains;
        for (auto& domain : chosen)
            domain.weight = 1;
        return chosen;
    }

} // namespace

auto targetShares(const std::vector<DomainState>& nearestFirst) -> TrafficShares
{
    TrafficShares shares;
    const auto domains = eligible(nearestFirst);
    if (domains.empty())
        return shares;
    double highestWeight = 0;
    for (const auto& domain : domains)
        highestWeight = std::max(highestWeight, domain.weight);
    double rest = 1;
    for (const auto& domain : domains) {
        const auto taken = rest * availability(domain) * domain.weight / highestWeight;
        if (taken > negligibleShare)
            shares[domain.id] = taken;
        rest -= taken;
    }
    if (rest > negligibleShare)
        spread(shares, rest, domains);
    else
        shares.begin()->second += rest;
    return shares;
}

auto withoutUnreachable(const TrafficShares& current, const std::set<Core::FailureDomainId>& reachable,
    const TrafficShares& target) -> TrafficShares
{
    TrafficShares shares;
    double lost = 0;
    for (const auto& [id, share] : current) {
        if (reachable.contains(id))
            shares[id] = share;
        else
            lost += share;
    }
    if (lost <= 0)
        return shares;
    for (const auto& [id, share] : target)
        shares[id] += lost * share;
    return shares;
}

auto stepTowards(const TrafficShares& current, const TrafficShares& target,
    const std::set<Core::FailureDomainId>& excluded, Core::Share cap) -> TrafficShares
{
    double leaving = 0;
    for (const auto& id : excluded)
        leaving += shareOf(current, id);
    // These go first, so that a drain ends however the loads of the others vary.
    const auto evacuated = std::min(leaving, cap.value());
    TrafficShares next = current;
    for (auto& [id, share] : next)
        share -= excluded.contains(id) && share > 0 ? share * evacuated / leaving : 0;
    for (const auto& [id, share] : target)
        next[id] += evacuated * share;
    const auto remaining = cap.value() - evacuated;
    const auto moved = movedBetween(next, target);
    const auto part = moved > remaining ? remaining / moved : 1.0;
    for (auto& [id, share] : next)
        share += part * (shareOf(target, id) - share);
    std::erase_if(next, [](const auto& entry) { return entry.second <= negligibleShare; });
    return next;
}

auto movedBetween(const TrafficShares& from, const TrafficShares& to) -> double
{
    double moved = 0;
    for (const auto& [id, share] : to)
        moved += std::max(0.0, share - shareOf(from, id));
    return moved;
}

} // namespace Steering
