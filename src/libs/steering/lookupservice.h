#pragma once

#include "fleet/fleetholder.h"
#include "ports/clock.h"
#include "ports/randomsource.h"
#include "serving/lookupresolver.h"
#include "steering/lookupplanner.h"
#include "steering/lookuptableholder.h"

#include <mutex>

namespace Steering {

/// Answers look-ups with a few entry VMs, drawn at random according to the shares of the failure domains.
class LookupService : public Serving::LookupResolver {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        Ports::RandomSource& random;
        const Configuration::ConfigurationSource& configuration;
        const Fleet::FleetSource& fleet;
        const Membership::MembershipView& membership;
        const LookupTableHolder& table;
    };

    LookupService(Dependencies dependencies, Core::FailureDomainId failureDomain, Core::RegionId region);

    auto lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer> override;

private:
    /// Plan and the table that its site indexes refer to.
    struct Snapshot {
        std::shared_ptr<const LookupTable> table;
        std::shared_ptr<const LookupPlan> plan;
    };

    auto snapshot() -> Snapshot;
    auto refresh(Core::Instant now) -> void;
    [[nodiscard]] auto members() const -> std::vector<Membership::Member>;
    auto drawAnswer(const LookupPlan& plan, const LookupPlan::ServicePlan& service, std::size_t order)
        -> Ports::LookupAnswer;

    Dependencies m_dependencies;
    std::mutex m_planningMutex;
    LookupPlanner m_planner;
    std::mutex m_mutex;
    Snapshot m_snapshot;
    Core::Instant m_refreshAt;
};

} // namespace Steering
