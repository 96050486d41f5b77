#pragma once

#include "configuration/steeringconfiguration.h"
#include "membership/membershipview.h"
#include "steering/lookupplan.h"
#include "steering/lookuptable.h"
#include "steering/trafficshares.h"

#include <memory>

namespace Steering {

/// Computes the plan of look-up answers from the configuration, the members and their loads. Shares move by capped
/// steps, at most one in the lifetime of the answers that are still out. Not safe to call from several threads.
class LookupPlanner {
public:
    LookupPlanner(Core::FailureDomainId failureDomain, Core::RegionId region);

    auto plan(Core::Instant now, const Configuration::SteeringConfiguration& configuration,
        const std::vector<Membership::Member>& members, const LookupTable& table) -> std::shared_ptr<const LookupPlan>;
    /// Shares in use for a site, for tests and time lines; empty before the first plan.
    [[nodiscard]] auto shares(const Core::ServiceId& service, const std::string& site) const -> TrafficShares;

private:
    struct Domain {
        Core::RegionId region;
        std::vector<Ports::LookupTarget> targets;
        std::map<Core::ServiceId, Fleet::ServiceLoad> loads;
        bool hasLoads = false;
    };
    using Domains = std::map<Core::FailureDomainId, Domain>;
    using ShareKey = std::pair<Core::ServiceId, std::string>;

    struct Inputs {
        const Configuration::SteeringConfiguration& configuration;
        Domains domains;
        /// Index of each failure domain into LookupPlan::targets.
        std::map<Core::FailureDomainId, std::size_t> positions;
    };

    auto planSite(const Inputs& inputs, const Core::ServiceId& service, const Site& site) -> std::vector<DomainTargets>;
    static auto stateOf(const Inputs& inputs, const Core::ServiceId& service, const Core::FailureDomainId& id)
        -> DomainState;
    static auto domainsOf(const std::vector<Membership::Member>& members) -> Domains;
    [[nodiscard]] auto preference(const Domains& domains, const std::vector<Core::FailureDomainId>& nearest) const
        -> std::vector<Core::FailureDomainId>;
    auto updateShares(const ShareKey& key, const TrafficShares& target, Core::Share cap) -> const TrafficShares&;
    auto advanceStep(Core::Instant now, Core::Millis lifetime) -> void;

    const Core::FailureDomainId m_failureDomain;
    const Core::RegionId m_region;
    std::map<ShareKey, TrafficShares> m_shares;
    std::set<Core::FailureDomainId> m_reachable;
    Core::Instant m_nextStep;
    bool m_isStep = false;
};

} // namespace Steering
