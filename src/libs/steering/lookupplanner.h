#pragma once

#include "configuration/steeringconfiguration.h"
#include "membership/membershipview.h"
#include "steering/lookupplan.h"
#include "steering/lookuptable.h"
#include "steering/trafficshares.h"

#include <memory>

namespace Steering {

/// Computes the plan of look-up answers from the configuration, the members and their loads. Changes the shares in
/// capped steps, with at most one step per lifetime of a look-up answer. Not thread-safe.
class LookupPlanner {
public:
    /// Failure domains, nearest first.
    using PreferenceOrder = std::vector<Core::FailureDomainId>;

    LookupPlanner(Core::FailureDomainId failureDomain, Core::RegionId region);

    /// Returns a plan with a limited number of entry VMs per failure domain, selected by the rotation.
    auto plan(Core::Instant now, const Configuration::SteeringConfiguration& configuration,
        const std::vector<Membership::Member>& members, const LookupTable& table, std::uint64_t rotation)
        -> std::shared_ptr<const LookupPlan>;
    /// Returns the current shares for an order of preference; empty before the first plan.
    [[nodiscard]] auto shares(const Core::ServiceId& service, const PreferenceOrder& preference) const -> TrafficShares;

private:
    struct Domain {
        Core::RegionId region;
        std::vector<const Membership::Member*> members;
        std::map<Core::ServiceId, Fleet::ServiceLoad> loads;
        bool hasLoads = false;
    };
    using Domains = std::map<Core::FailureDomainId, Domain>;
    using ShareKey = std::pair<Core::ServiceId, PreferenceOrder>;

    struct Inputs {
        const Configuration::SteeringConfiguration& configuration;
        Domains domains;
        /// Index of each failure domain in LookupPlan::targets.
        std::map<Core::FailureDomainId, std::size_t> positions;
    };

    auto computeShares(const Inputs& inputs, const Core::ServiceId& service, const PreferenceOrder& preference)
        -> std::vector<DomainShare>;
    static auto stateOf(const Inputs& inputs, const Core::ServiceId& service, const Core::FailureDomainId& id)
        -> DomainState;
    static auto domainsOf(const std::vector<Membership::Member>& members) -> Domains;
    [[nodiscard]] auto completeOrder(const Domains& domains, const PreferenceOrder& preference) const
        -> PreferenceOrder;
    auto updateShares(const ShareKey& key, const TrafficShares& target, const std::set<Core::FailureDomainId>& excluded,
        Core::Share cap) -> const TrafficShares&;
    auto advanceStep(Core::Instant now, Core::Millis lifetime) -> void;

    const Core::FailureDomainId m_failureDomain;
    const Core::RegionId m_region;
    std::map<ShareKey, TrafficShares> m_shares;
    std::set<Core::FailureDomainId> m_reachable;
    Core::Instant m_nextStep;
    bool m_isStepDue = false;
};

} // namespace Steering
