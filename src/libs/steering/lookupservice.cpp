#include "steering/lookupservice.h"

#include <algorithm>

namespace Steering {

namespace {

    constexpr Core::Millis refreshInterval { 250 };
    constexpr std::size_t targetsPerAnswer = 3;
    /// Number of random bits in a double in [0, 1).
    constexpr unsigned randomBits = 53;

    auto unitInterval(std::uint64_t word) -> double
    {
        constexpr double scale = 1.0 / static_cast<double>(std::uint64_t(1) << randomBits);
        return static_cast<double>(word >> (64U - randomBits)) * scale;
    }

    auto siteOf(const LookupTable& table, const Ports::LookupQuery& query) -> std::size_t
    {
        const auto site = query.client ? table.find(blockOf(*query.client)) : std::nullopt;
        return site ? site->value() : table.sites().size();
    }

    auto addTarget(Ports::LookupAnswer& answer, const Ports::LookupTarget& chosen, bool needsKeyPrefix, double weight)
        -> void
    {
        for (auto& target : answer.targets) {
            if (target.vm == chosen.vm) {
                target.weight = Core::Share(target.weight.value() + weight);
                return;
            }
        }
        answer.targets.push_back({ chosen.vm, chosen.address, chosen.failureDomain, Core::Share(weight),
            needsKeyPrefix ? chosen.keyPrefix : std::string() });
    }

} // namespace

LookupService::LookupService(Dependencies dependencies, Core::FailureDomainId failureDomain, Core::RegionId region)
    : m_dependencies(dependencies)
    , m_planner(std::move(failureDomain), std::move(region))
{
}

auto LookupService::lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer>
{
    const auto current = snapshot();
    const auto service = current.plan->services.find(query.service);
    if (service == current.plan->services.end()) {
        return Core::fail(Core::ErrorKind::NotFound, "no service named '" + query.service.value() + "' is in force",
            "use a service named in the steering document, or add one to your section");
    }
    const auto order = current.plan->orderOfSite[siteOf(*current.table, query)];
    if (service->second.sharesByOrder[order].empty()) {
        return Core::fail(Core::ErrorKind::Unavailable, "no entry VM is known yet",
            "try again in a second; operators check the list of VMs");
    }
    return drawAnswer(*current.plan, service->second, order);
}

auto LookupService::snapshot() -> Snapshot
{
    const auto now = m_dependencies.clock.now();
    {
        const std::lock_guard lock(m_mutex);
        if (m_snapshot.plan != nullptr && now < m_refreshAt)
            return m_snapshot;
    }
    refresh(now);
    const std::lock_guard lock(m_mutex);
    return m_snapshot;
}

auto LookupService::refresh(Core::Instant now) -> void
{
    const auto configuration = m_dependencies.configuration.current();
    const auto knownMembers = members();
    auto table = m_dependencies.table.current();
    const std::lock_guard planning(m_planningMutex);
    auto plan = m_planner.plan(now, *configuration, knownMembers, *table, m_dependencies.random.next());
    const std::lock_guard lock(m_mutex);
    m_snapshot = { std::move(table), std::move(plan) };
    m_refreshAt = now + refreshInterval;
}

auto LookupService::members() const -> std::vector<Membership::Member>
{
    auto members = m_dependencies.membership.members();
    if (!members.empty())
        return members;
    // Falls back to the platform's list until membership has any members.
    const auto fleet = m_dependencies.fleet.current();
    for (const auto& vm : fleet->entryVms) {
        if (vm.state == Fleet::MemberState::Live)
            members.push_back({ vm });
    }
    return members;
}

auto LookupService::drawAnswer(const LookupPlan& plan, const LookupPlan::ServicePlan& service, std::size_t order)
    -> Ports::LookupAnswer
{
    const auto& domains = service.sharesByOrder[order];
    Ports::LookupAnswer answer { {}, plan.lifetime };
    answer.targets.reserve(targetsPerAnswer);
    constexpr auto weightPerTarget = 1.0 / targetsPerAnswer;
    const auto offset = unitInterval(m_dependencies.random.next()) * weightPerTarget;
    const auto vmOffset = m_dependencies.random.next();
    for (std::size_t index = 0; index < targetsPerAnswer; ++index) {
        // Equally spaced points with a random offset select each failure domain in proportion to its share on average.
        const auto point = offset + static_cast<double>(index) * weightPerTarget;
        const auto domain = std::find_if(domains.begin(), domains.end() - 1,
            [point](const DomainShare& candidate) { return point < candidate.cumulativeShare; });
        const auto& vms = plan.targets[domain->targetsIndex];
        addTarget(answer, vms[(vmOffset + index) % vms.size()], service.needsKeyPrefix, weightPerTarget);
    }
    return answer;
}

} // namespace Steering
