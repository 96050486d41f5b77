#pragma once

#include "entryfleet/entryvmentry.h"

#include <set>
#include <vector>

namespace EntryFleet {

/// Entry VM that accepts callers.
struct CallerTarget {
    Core::EntryVmId id;
    Core::FailureDomainId failureDomain;
    Cores processor;
    /// The VM handles its events late.
    bool isBusy = false;
};

using CallerTargets = std::vector<CallerTarget>;

/// Returns the entry VMs of a region that look-up answers name: in each failure domain the large ones, at least two,
/// and further ones for those that are busy, up to all. Where all VMs have about the same size, all of them.
///
/// Load that it answers: many small VMs beside a few large ones. If each got its part of the callers, every upstream
/// would get requests over as many connections, from senders that do not know of each other's requests.
[[nodiscard]] auto selectForCallers(CallerTargets targets) -> std::set<Core::EntryVmId>;

} // namespace EntryFleet
