#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "ports/exchangeclient.h"

#include <map>
#include <set>
#include <vector>

namespace Forwarding {

/// Upstream as it registered itself.
struct UpstreamEntry {
    Ports::UpstreamTarget target;
    Core::ServiceId service;
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
    Core::SlotCount slots;
    bool isDraining = false;
    /// Until when it said that it stays cold.
    Core::Instant coldUntil;
    /// The list may be older than the upstream's present start.
    bool mayBeOutdated = false;
};

using UpstreamEntries = std::map<Core::UpstreamId, UpstreamEntry>;

/// Failure domains whose upstreams get no requests.
using EvacuatedDomains = std::set<Core::FailureDomainId>;

} // namespace Forwarding
