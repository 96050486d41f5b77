#include "steering/lookupplanner.h"

#include "core/invariant.h"

#include <algorithm>

namespace Steering {

namespace {

    constexpr auto unknownSite = "";
    constexpr double roundingMargin = 1e-9;

    auto weightOf(const Configuration::SteeringConfiguration& configuration, const Core::FailureDomainId& id) -> double
    {
        if (configuration.drained.contains(id))
            return 0;
        const auto found = configuration.weights.find(id);
        return found == configuration.weights.end() ? 1 : std::max(0.0, found->second);
    }

    auto add(Fleet::ServiceLoad& sum, const Fleet::ServiceLoad& load) -> void
    {
        sum.usableSlots = Core::SlotCount(sum.usableSlots.value() + load.usableSlots.value());
        sum.busySlots = Core::SlotCount(sum.busySlots.value() + load.busySlots.value());
        sum.queued += load.queued;
    }

} // namespace

LookupPlanner::LookupPlanner(Core::FailureDomainId failureDomain, Core::RegionId region)
    : m_failureDomain(std::move(failureDomain))
    , m_region(std::move(region))
{
}

auto LookupPlanner::plan(Core::Instant now, const Configuration::SteeringConfiguration& configuration,
    const std::vector<Membership::Member>& members, const LookupTable& table) -> std::shared_ptr<const LookupPlan>
{
    auto plan = std::make_shared<LookupPlan>();
    plan->lifetime = configuration.lookupLifetime;
    Inputs inputs { configuration, domainsOf(members), {} };
    m_reachable.clear();
    for (const auto& [id, domain] : inputs.domains) {
        inputs.positions[id] = plan->targets.size();
        plan->targets.push_back(domain.targets);
        m_reachable.insert(id);
    }
    advanceStep(now, configuration.lookupLifetime);
    for (const auto& [service, policy] : configuration.services) {
        auto& sites = plan->services[service].sites;
        for (const auto& site : table.sites())
            sites.push_back(planSite(inputs, service, site));
        sites.push_back(planSite(inputs, service, { unknownSite, {} }));
    }
    return plan;
}

auto LookupPlanner::planSite(const Inputs& inputs, const Core::ServiceId& service, const Site& site)
    -> std::vector<DomainTargets>
{
    std::vector<DomainState> states;
    for (const auto& id : preference(inputs.domains, site.failureDomains))
        states.push_back(stateOf(inputs, service, id));
    const auto& shares = updateShares({ service, site.name }, targetShares(states), inputs.configuration.movementCap);
    std::vector<DomainTargets> targets;
    double sum = 0;
    for (const auto& [id, share] : shares) {
        sum += share;
        targets.push_back({ sum, inputs.positions.at(id) });
    }
    if (!targets.empty())
        targets.back().cumulativeShare = 1;
    return targets;
}

auto LookupPlanner::stateOf(const Inputs& inputs, const Core::ServiceId& service, const Core::FailureDomainId& id)
    -> DomainState
{
    const auto& domain = inputs.domains.at(id);
    const auto weight = weightOf(inputs.configuration, id);
    const auto load = domain.loads.find(service);
    if (load == domain.loads.end() || load->second.usableSlots.value() == 0)
        return { id, weight, 0, !domain.hasLoads };
    const auto taken = load->second.busySlots.value() + load->second.queued;
    return { id, weight, static_cast<double>(taken) / load->second.usableSlots.value(), true };
}

auto LookupPlanner::shares(const Core::ServiceId& service, const std::string& site) const -> TrafficShares
{
    const auto found = m_shares.find({ service, site });
    return found == m_shares.end() ? TrafficShares() : found->second;
}

auto LookupPlanner::domainsOf(const std::vector<Membership::Member>& members) -> Domains
{
    Domains domains;
    for (const auto& member : members) {
        if (member.health != Membership::MemberHealth::Alive)
            continue;
        auto& domain = domains[member.vm.failureDomain];
        domain.region = member.vm.region;
        domain.targets.push_back(
            { member.vm.id, member.vm.address, member.vm.failureDomain, Core::Share(0), member.keyPrefix });
        domain.hasLoads = domain.hasLoads || !member.loads.empty();
        for (const auto& load : member.loads)
            add(domain.loads[load.service], load);
    }
    return domains;
}

auto LookupPlanner::preference(const Domains& domains, const std::vector<Core::FailureDomainId>& nearest) const
    -> std::vector<Core::FailureDomainId>
{
    std::vector<Core::FailureDomainId> order;
    const auto append = [&](const Core::FailureDomainId& id) {
        if (domains.contains(id) && std::find(order.begin(), order.end(), id) == order.end())
            order.push_back(id);
    };
    for (const auto& id : nearest)
        append(id);
    append(m_failureDomain);
    for (const auto& [id, domain] : domains) {
        if (domain.region == m_region)
            append(id);
    }
    for (const auto& [id, domain] : domains)
        append(id);
    return order;
}

auto LookupPlanner::advanceStep(Core::Instant now, Core::Millis lifetime) -> void
{
    m_isStep = now >= m_nextStep;
    if (m_isStep)
        m_nextStep = now + lifetime;
}

auto LookupPlanner::updateShares(const ShareKey& key, const TrafficShares& target, Core::Share cap)
    -> const TrafficShares&
{
    auto& shares = m_shares[key];
    if (shares.empty()) {
        shares = target;
        return shares;
    }
    shares = withoutUnreachable(shares, m_reachable, target);
    if (m_isStep) {
        auto next = stepTowards(shares, target, cap);
        Core::invariant(
            movedBetween(shares, next) <= cap.value() + roundingMargin, "steering.lookup-movement-within-cap");
        shares = std::move(next);
    }
    return shares;
}

} // namespace Steering
