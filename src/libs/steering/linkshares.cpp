#include "steering/linkshares.h"

#include <algorithm>
#include <numeric>

namespace Steering {

namespace {

    /// A link carries requests from the entry VMs at one end and replies to those at the other; each kind gets half.
    constexpr double requestShare = 0.5;

    auto floorsOf(const Configuration::SteeringConfiguration& configuration) -> std::array<double, Core::rankCount>
    {
        std::array<double, Core::rankCount> floors {};
        for (const auto& [id, policy] : configuration.services)
            floors.at(Core::rankIndex(policy.rank)) += policy.floor.value();
        const auto sum = std::accumulate(floors.begin(), floors.end(), 0.0);
        for (auto& floor : floors)
            floor /= std::max(1.0, sum);
        return floors;
    }

} // namespace

LinkShares::LinkShares(
    const Configuration::ConfigurationSource& configuration, const Fleet::FleetSource& fleet, Core::RegionId region)
    : m_configuration(configuration)
    , m_fleet(fleet)
    , m_region(std::move(region))
{
}

auto LinkShares::tryTake(const LinkBudget::Direction& direction, Core::Rank rank, Core::Bytes size, Core::Instant now)
    -> bool
{
    const auto limits = limitsOf(direction);
    return !limits || m_budget.tryTake(direction, rank, size, now, *limits);
}

auto LinkShares::hasCapacity(const LinkBudget::Direction& direction, Core::Rank rank, Core::Instant now) -> bool
{
    const auto limits = limitsOf(direction);
    return !limits || m_budget.hasCapacity(direction, rank, now, *limits);
}

auto LinkShares::charge(const LinkBudget::Direction& direction, Core::Rank rank, Core::Bytes size, Core::Instant now)
    -> void
{
    if (const auto limits = limitsOf(direction))
        m_budget.charge(direction, rank, size, now, *limits);
}

auto LinkShares::limitsOf(const LinkBudget::Direction& direction) -> std::optional<LinkBudget::Limits>
{
    if (direction.from == direction.to)
        return std::nullopt;
    const auto configuration = m_configuration.current();
    const auto fleet = m_fleet.current();
    const std::lock_guard lock(m_mutex);
    if (configuration->version != m_configurationVersion || fleet->version != m_fleetVersion) {
        const auto vms = std::count_if(fleet->entryVms.begin(), fleet->entryVms.end(),
            [this](const Fleet::EntryVm& vm) { return vm.region == m_region; });
        const auto floors = floorsOf(*configuration);
        m_limits.clear();
        for (const auto& link : configuration->linkBudgets)
            m_limits[{ link.from, link.to }]
                = { Core::Mbit(link.limit.value() * requestShare / std::max(1.0, static_cast<double>(vms))), floors };
        m_configurationVersion = configuration->version;
        m_fleetVersion = fleet->version;
    }
    const auto found = m_limits.find(direction);
    return found == m_limits.end() ? std::nullopt : std::optional(found->second);
}

} // namespace Steering
