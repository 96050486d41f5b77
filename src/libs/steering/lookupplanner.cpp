#include "steering/lookupplanner.h"

#include "core/invariant.h"

#include <algorithm>

namespace Steering {

namespace {

    /// Maximum number of entry VMs per failure domain in a plan. Each entry VM rotates its selection, so that all of
    /// them are used.
    constexpr std::size_t maximumTargetsPerDomain = 16;
    constexpr double roundingMargin = 1e-9;

    auto weightOf(const Configuration::SteeringConfiguration& configuration, const Core::FailureDomainId& id) -> double
    {
        if (configuration.drained.contains(id))
            return 0;
        const auto found = configuration.weights.find(id);
        return found == configuration.weights.end() ? 1 : std::max(0.0, found->second);
    }

    auto addLoad(Fleet::ServiceLoad& sum, const Fleet::ServiceLoad& load) -> void
    {
        sum.usableSlots = Core::SlotCount(sum.usableSlots.value() + load.usableSlots.value());
        sum.busySlots = Core::SlotCount(sum.busySlots.value() + load.busySlots.value());
        sum.queued += load.queued;
    }

    auto targetsOf(const std::vector<const Membership::Member*>& members, std::uint64_t rotation)
        -> std::vector<Ports::LookupTarget>
    {
        std::vector<Ports::LookupTarget> targets;
        for (std::size_t index = 0; index < std::min(members.size(), maximumTargetsPerDomain); ++index) {
            const auto& member = *members[(rotation + index) % members.size()];
            targets.push_back(
                { member.vm.id, member.vm.address, member.vm.failureDomain, Core::Share(0), member.keyPrefix });
        }
        return targets;
    }

    /// Returns the distinct preference orders of the table's sites and appends the index of each site's order to
    /// orderOfSite. The empty order is for clients of unknown sites.
    auto ordersOf(const LookupTable& table, std::vector<std::size_t>& orderOfSite)
        -> std::vector<LookupPlanner::PreferenceOrder>
    {
        std::map<LookupPlanner::PreferenceOrder, std::size_t> indexes;
        std::vector<LookupPlanner::PreferenceOrder> orders;
        const auto addOrder = [&](const LookupPlanner::PreferenceOrder& order) {
            const auto [entry, isNew] = indexes.try_emplace(order, orders.size());
            if (isNew)
                orders.push_back(order);
            orderOfSite.push_back(entry->second);
        };
        for (const auto& site : table.sites())
            addOrder(site.failureDomains);
        addOrder({});
        return orders;
    }

} // namespace

LookupPlanner::LookupPlanner(Core::FailureDomainId failureDomain, Core::RegionId region)
    : m_failureDomain(std::move(failureDomain))
    , m_region(std::move(region))
{
}

auto LookupPlanner::plan(Core::Instant now, const Configuration::SteeringConfiguration& configuration,
    const std::vector<Membership::Member>& members, const LookupTable& table, std::uint64_t rotation)
    -> std::shared_ptr<const LookupPlan>
{
    auto plan = std::make_shared<LookupPlan>();
    plan->lifetime = configuration.lookupLifetime;
    Inputs inputs { configuration, domainsOf(members), {} };
    m_reachable.clear();
    for (const auto& [id, domain] : inputs.domains) {
        inputs.positions[id] = plan->targets.size();
        plan->targets.push_back(targetsOf(domain.members, rotation));
        m_reachable.insert(id);
    }
    advanceStep(now, configuration.lookupLifetime);
    const auto orders = ordersOf(table, plan->orderOfSite);
    for (const auto& [service, policy] : configuration.services) {
        auto& servicePlan = plan->services[service];
        servicePlan.needsKeyPrefix = !policy.isIdempotent;
        for (const auto& order : orders)
            servicePlan.sharesByOrder.push_back(computeShares(inputs, service, order));
    }
    return plan;
}

auto LookupPlanner::computeShares(
    const Inputs& inputs, const Core::ServiceId& service, const PreferenceOrder& preference) -> std::vector<DomainShare>
{
    std::vector<DomainState> states;
    std::set<Core::FailureDomainId> excluded;
    for (const auto& id : completeOrder(inputs.domains, preference)) {
        states.push_back(stateOf(inputs, service, id));
        if (states.back().weight <= 0)
            excluded.insert(id);
    }
    const auto& shares
        = updateShares({ service, preference }, targetShares(states), excluded, inputs.configuration.movementCap);
    std::vector<DomainShare> domainShares;
    double sum = 0;
    for (const auto& [id, share] : shares) {
        sum += share;
        domainShares.push_back({ sum, inputs.positions.at(id) });
    }
    if (!domainShares.empty())
        domainShares.back().cumulativeShare = 1;
    return domainShares;
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

auto LookupPlanner::shares(const Core::ServiceId& service, const PreferenceOrder& preference) const -> TrafficShares
{
    const auto found = m_shares.find({ service, preference });
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
        domain.members.push_back(&member);
        domain.hasLoads = domain.hasLoads || !member.loads.empty();
        for (const auto& load : member.loads)
            addLoad(domain.loads[load.service], load);
    }
    return domains;
}

auto LookupPlanner::completeOrder(const Domains& domains, const PreferenceOrder& preference) const -> PreferenceOrder
{
    PreferenceOrder order;
    const auto append = [&](const Core::FailureDomainId& id) {
        if (domains.contains(id) && std::find(order.begin(), order.end(), id) == order.end())
            order.push_back(id);
    };
    for (const auto& id : preference)
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
    m_isStepDue = now >= m_nextStep;
    if (m_isStepDue)
        m_nextStep = now + lifetime;
}

auto LookupPlanner::updateShares(const ShareKey& key, const TrafficShares& target,
    const std::set<Core::FailureDomainId>& excluded, Core::Share cap) -> const TrafficShares&
{
    auto& shares = m_shares[key];
    if (shares.empty()) {
        shares = target;
        return shares;
    }
    shares = redistributeUnreachable(shares, m_reachable, target);
    if (m_isStepDue) {
        auto next = stepTowards(shares, target, excluded, cap);
        Core::invariant(
            movedShare(shares, next) <= cap.value() + roundingMargin, "steering.lookup-movement-within-cap");
        shares = std::move(next);
    }
    return shares;
}

} // namespace Steering
