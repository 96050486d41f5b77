#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "entryfleet/entryvmentry.h"
#include "quotas/quotabounds.h"

#include <cstdint>
#include <vector>

namespace ForwardingHost {

/// Settings of an entry VM process that forwards requests.
struct EntryVmSettings {
    Core::EntryVmId id;
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
    /// Address that accepts requests of callers.
    Core::Address front;
    /// Address that answers the platform's readiness checks.
    Core::Address readiness;
    /// Address that answers look-ups of callers.
    Core::Address lookup;
    /// Address that serves the metrics to operators.
    Core::Address metrics;
    /// Address that receives heartbeats of other entry VMs.
    Core::Address heartbeats;
    /// Address that receives messages of other entry VMs.
    Core::Address peers;
    /// Entry VMs to query before the store has listed any. May be out of date.
    std::vector<Core::Address> seeds;
    Core::Address store;
    std::size_t threads = 1;
    /// Processor time that the process may use; zero if it is not known.
    EntryFleet::Cores processor;
    std::size_t descriptors = 1024;
    Core::Bytes memory { 64UL * 1024 * 1024 };
    /// Time between the request to stop and the forced end of the process.
    Core::Millis stopTimeout { 5000 };
    /// Longest time for which callers may cache a look-up answer.
    Core::Millis lookupLifetime { 2000 };
    /// Time for which changes of the store may gather before they are read together.
    Core::Millis batchingDelay { 500 };
    /// Number of entry VMs in each large region that read the store for the others. 0: each one reads it itself.
    std::size_t storeWatchers = 2;
    /// Retry budget of the whole fleet for each service, over ten seconds.
    double retryRatio = 0.1;
    double retrySlack = 10;
    /// How far the quotas of organisations may be exceeded.
    Quotas::QuotaBounds quotaBounds;
};

} // namespace ForwardingHost
