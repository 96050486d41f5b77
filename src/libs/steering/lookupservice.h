#pragma once

#include "fleet/fleetholder.h"
#include "ports/clock.h"
#include "ports/randomsource.h"
#include "serving/lookupdecision.h"
#include "steering/lookupplanner.h"
#include "steering/lookuptableholder.h"

#include <mutex>

namespace Steering {

/// Answers look-ups with a few entry VMs, drawn so that the failure domains get their shares.
class LookupService : public Serving::LookupDecision {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        Ports::RandomSource& random;
        const Configuration::ConfigurationSource& configuration;
        const Fleet::FleetSource& fleet;
        const Membership::MembershipView& membership;
        const LookupTableHolder& table;
    };

    LookupService(Collaborators collaborators, Core::FailureDomainId failureDomain, Core::RegionId region);

    auto lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer> override;

private:
    /// Plan together with the table that its site indexes refer to.
    struct Snapshot {
        std::shared_ptr<const LookupTable> table;
        std::shared_ptr<const LookupPlan> plan;
    };

    auto snapshot() -> Snapshot;
    auto refresh(Core::Instant now) -> void;
    [[nodiscard]] auto members() const -> std::vector<Membership::Member>;
    auto draw(const LookupPlan& plan, const LookupPlan::ServicePlan& service, std::size_t order) -> Ports::LookupAnswer;

    Collaborators m_collaborators;
    std::mutex m_planningMutex;
    LookupPlanner m_planner;
    std::mutex m_mutex;
    Snapshot m_snapshot;
    Core::Instant m_refreshAt;
};

} // namespace Steering
