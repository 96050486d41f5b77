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
    /// Failure domains, nearest first.
    using Preference = std::vector<Core::FailureDomainId>;

    LookupPlanner(Core::FailureDomainId failureDomain, Core::RegionId region);

    /// The plan names a few entry VMs of each failure domain, chosen by the rotation.
    auto plan(Core::Instant now, const Configuration::SteeringConfiguration& configuration,
        const std::vector<Membership::Member>& members, const LookupTable& table, std::uint64_t rotation)
        -> std::shared_ptr<const LookupPlan>;
    /// Shares in use for an order of preference; empty before the first plan.
    [[nodiscard]] auto shares(const Core::ServiceId& service, const Preference& nearest) const -> TrafficShares;

private:
    struct Domain {
        Core::RegionId region;
        std::vector<const Membership::Member*> members;
        std::map<Core::ServiceId, Fleet::ServiceLoad> loads;
        bool hasLoads = false;
    };
    using Domains = std::map<Core::FailureDomainId, Domain>;
    using ShareKey = std::pair<Core::ServiceId, Preference>;

    struct Inputs {
        const Configuration::SteeringConfiguration& configuration;
        Domains domains;
        /// Index of each failure domain into LookupPlan::targets.
        std::map<Core::FailureDomainId, std::size_t> positions;
    };

    auto planOrder(const Inputs& inputs, const Core::ServiceId& service, const Preference& nearest)
        -> std::vector<DomainTargets>;
    static auto stateOf(const Inputs& inputs, const Core::ServiceId& service, const Core::FailureDomainId& id)
        -> DomainState;
    static auto domainsOf(const std::vector<Membership::Member>& members) -> Domains;
    [[nodiscard]] auto completed(const Domains& domains, const Preference& nearest) const -> Preference;
    auto updateShares(const ShareKey& key, const TrafficShares& target, const std::set<Core::FailureDomainId>& excluded,
        Core::Share cap) -> const TrafficShares&;
    auto advanceStep(Core::Instant now, Core::Millis lifetime) -> void;

    const Core::FailureDomainId m_failureDomain;
    const Core::RegionId m_region;
    std::map<ShareKey, TrafficShares> m_shares;
    std::set<Core::FailureDomainId> m_reachable;
    Core::Instant m_nextStep;
    bool m_isStep = false;
};

} // namespace Steering
