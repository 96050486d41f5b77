#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "ports/exchangeclient.h"
#include "ports/storerevision.h"

#include <map>
#include <set>
#include <vector>

namespace Forwarding {

/// Number of a statement of an upstream about itself. Counts from its start.
using ReportNumber = Core::StrongType<struct ReportNumberTag, std::uint64_t>;

/// Registration of an upstream in the store.
struct UpstreamEntry {
    Ports::UpstreamTarget target;
    Core::ServiceId service;
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
    Core::SlotCount slots;
    bool isDraining = false;
    ReportNumber report;
    /// Revision of the store's object.
    Ports::StoreRevision revision;
    /// End of the time for which the upstream registered itself as cold.
    Core::Instant coldUntil;
    /// The entry may predate the current incarnation of the upstream.
    bool mayBeOutdated = false;
};

using UpstreamEntries = std::map<Core::UpstreamId, UpstreamEntry>;

/// Failure domains whose upstreams receive no requests.
using EvacuatedDomains = std::set<Core::FailureDomainId>;

} // namespace Forwarding
