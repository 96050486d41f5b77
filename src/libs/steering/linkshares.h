#pragma once

#include "configuration/steeringconfiguration.h"
#include "fleet/fleetholder.h"
#include "steering/linkbudget.h"

#include <optional>

namespace Steering {

/// Applies this entry VM's share of the configured link budgets. Each budget is divided evenly among the entry VMs of
/// the region, so that their shares never add up to more than the budget.
class LinkShares {
public:
    LinkShares(const Configuration::ConfigurationSource& configuration, const Fleet::FleetSource& fleet,
        Core::RegionId region);

    auto tryTake(const LinkBudget::Direction& direction, Core::Rank rank, Core::Bytes size, Core::Instant now) -> bool;
    auto hasCapacity(const LinkBudget::Direction& direction, Core::Rank rank, Core::Instant now) -> bool;
    auto charge(const LinkBudget::Direction& direction, Core::Rank rank, Core::Bytes size, Core::Instant now) -> void;

private:
    using LimitMap = std::map<LinkBudget::Direction, LinkBudget::Limits>;

    /// Returns nullopt for links without a budget.
    auto limitsOf(const LinkBudget::Direction& direction) -> std::optional<LinkBudget::Limits>;

    const Configuration::ConfigurationSource& m_configuration;
    const Fleet::FleetSource& m_fleet;
    const Core::RegionId m_region;
    LinkBudget m_budget;
    std::mutex m_mutex;
    Core::Version m_configurationVersion;
    Core::Version m_fleetVersion;
    LimitMap m_limits;
};

} // namespace Steering
