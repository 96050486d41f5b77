#pragma once

#include "core/ids.h"
#include "ports/requesthandler.h"

#include <map>
#include <vector>

namespace Steering {

/// Share of a failure domain in the look-up answers for one order of preference.
struct DomainShare {
    /// Sum of this share and all earlier ones; 1 for the last.
    double cumulativeShare = 0;
    /// Index of the failure domain in LookupPlan::targets.
    std::size_t targetsIndex = 0;
};

/// Precomputed data from which look-up answers are drawn. Immutable.
struct LookupPlan {
    struct ServicePlan {
        /// One element per order of preference.
        std::vector<std::vector<DomainShare>> sharesByOrder;
        bool needsKeyPrefix = false;
    };

    std::map<Core::ServiceId, ServicePlan> services;
    /// Index in sharesByOrder of the order of preference of each site. Indexed by SiteIndex; the last element is for
    /// clients of unknown sites.
    std::vector<std::size_t> orderOfSite;
    /// Selected entry VMs of each failure domain; no inner vector is empty.
    std::vector<std::vector<Ports::LookupTarget>> targets;
    Core::Millis lifetime { 0 };
};

} // namespace Steering
