#pragma once

#include "core/ids.h"
#include "ports/requesthandler.h"

#include <map>
#include <vector>

namespace Steering {

/// Entry VMs of a failure domain that look-up answers may name, and its part of the traffic of one site.
struct DomainTargets {
    /// Sum of this and all earlier shares; the last one is 1.
    double cumulativeShare = 0;
    /// Index into LookupPlan::targets.
    std::size_t domain = 0;
};

/// What look-up answers are drawn from; immutable.
struct LookupPlan {
    struct ServicePlan {
        /// By index of the order of preference.
        std::vector<std::vector<DomainTargets>> orders;
        bool needsKeyPrefix = false;
    };

    std::map<Core::ServiceId, ServicePlan> services;
    /// Index of the order of preference by SiteIndex, and last for clients whose site is unknown.
    std::vector<std::size_t> orderOfSite;
    /// Some entry VMs of each failure domain; none is empty.
    std::vector<std::vector<Ports::LookupTarget>> targets;
    Core::Millis lifetime { 0 };
};

} // namespace Steering
