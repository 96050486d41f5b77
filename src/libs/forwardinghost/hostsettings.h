#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <vector>

namespace ForwardingHost {

/// Settings of a process that forwards requests as they come.
struct HostSettings {
    Core::EntryVmId id;
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
    /// Where callers send requests.
    Core::Address front;
    /// Where the platform asks whether this VM takes callers.
    Core::Address readiness;
    /// Where callers ask which entry VMs to use.
    Core::Address lookup;
    /// Where operators read the metrics.
    Core::Address metrics;
    /// Where heartbeats of other entry VMs arrive.
    Core::Address heartbeats;
    /// Where messages of other entry VMs arrive.
    Core::Address peers;
    /// Some entry VMs that can be asked before the store has named any; may be out of date.
    std::vector<Core::Address> seeds;
    Core::Address store;
    std::size_t threads = 1;
    std::size_t descriptors = 1024;
    Core::Bytes memory { 64UL * 1024 * 1024 };
    /// Time from the request to stop until the process is killed.
    Core::Millis stopTime { 5000 };
    /// Longest time that callers may use a look-up answer.
    Core::Millis lookupLifetime { 2000 };
    /// Allowance of repeats of the whole fleet, for each service in ten seconds.
    double retryRatio = 0.1;
    double retrySlack = 10;
};

} // namespace ForwardingHost
