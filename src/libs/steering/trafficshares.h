#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <set>
#include <vector>

namespace Steering {

/// Part of the traffic that each failure domain takes; adds up to 1, or is empty.
using TrafficShares = std::map<Core::FailureDomainId, double>;

/// What the share of one failure domain is computed from.
struct DomainState {
    Core::FailureDomainId id;
    /// Configured weight, 0 and above; 0 when drained.
    double weight = 1;
    /// Busy slots and waiting requests as a part of the usable slots; above 1 when requests wait.
    double utilization = 0;
    /// Has upstreams of the service that can take work, or has not told its load yet.
    bool isUsable = true;
};

/// Shares by preference: each failure domain, nearest first, takes what its weight and load let it take, and leaves the
/// rest to the next ones. What no one has room for is spread by weight.
auto targetShares(const std::vector<DomainState>& nearestFirst) -> TrafficShares;

/// Moves the shares of failure domains that are no longer reachable to the others, in proportion to the target. Not
/// capped, since requests sent there would fail.
auto withoutUnreachable(const TrafficShares& current, const std::set<Core::FailureDomainId>& reachable,
    const TrafficShares& target) -> TrafficShares;

/// One step towards the target that moves at most the given part of the traffic. What the excluded failure domains
/// still have goes first; the target gives them nothing.
auto stepTowards(const TrafficShares& current, const TrafficShares& target,
    const std::set<Core::FailureDomainId>& excluded, Core::Share cap) -> TrafficShares;

/// Part of the traffic that changes its failure domain between the two, 0 to 1.
auto movedBetween(const TrafficShares& from, const TrafficShares& to) -> double;

} // namespace Steering
