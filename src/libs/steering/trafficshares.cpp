#include "steering/trafficshares.h"

#include <algorithm>

namespace Steering {

namespace {

    /// Utilization up to which a failure domain takes all traffic that prefers it.
    constexpr double fullShareUtilization = 0.8;
    /// Share of its traffic that an overloaded failure domain still takes, so that its recovery can be detected.
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

    auto distributeByWeight(TrafficShares& shares, double amount, const std::vector<DomainState>& domains) -> void
    {
        double sum = 0;
        for (const auto& domain : domains)
            sum += domain.weight;
        for (const auto& domain : domains)
            shares[domain.id] += amount * domain.weight / sum;
    }

    /// Returns the failure domains that can take work, or all of them with equal weights if none has both a positive
    /// weight and usable upstreams.
    auto eligibleDomains(const std::vector<DomainState>& domains) -> std::vector<DomainState>
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
    const auto domains = eligibleDomains(nearestFirst);
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
        distributeByWeight(shares, rest, domains);
    else
        shares.begin()->second += rest;
    return shares;
}

auto redistributeUnreachable(const TrafficShares& current, const std::set<Core::FailureDomainId>& reachable,
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
    double excludedShare = 0;
    for (const auto& id : excluded)
        excludedShare += shareOf(current, id);
    // Moves the excluded shares first, so that a drain completes even if the loads of the others vary.
    const auto movedFromExcluded = std::min(excludedShare, cap.value());
    TrafficShares next = current;
    for (auto& [id, share] : next)
        share -= excluded.contains(id) && share > 0 ? share * movedFromExcluded / excludedShare : 0;
    for (const auto& [id, share] : target)
        next[id] += movedFromExcluded * share;
    const auto remaining = cap.value() - movedFromExcluded;
    const auto moved = movedShare(next, target);
    const auto part = moved > remaining ? remaining / moved : 1.0;
    for (auto& [id, share] : next)
        share += part * (shareOf(target, id) - share);
    std::erase_if(next, [](const auto& entry) { return entry.second <= negligibleShare; });
    return next;
}

auto movedShare(const TrafficShares& from, const TrafficShares& to) -> double
{
    double moved = 0;
    for (const auto& [id, share] : to)
        moved += std::max(0.0, share - shareOf(from, id));
    return moved;
}

} // namespace Steering
