#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <set>
#include <vector>

namespace Steering {

/// Share of the traffic of each failure domain. The shares add up to 1, or the map is empty.
using TrafficShares = std::map<Core::FailureDomainId, double>;

/// Inputs for the share of one failure domain.
struct DomainState {
    Core::FailureDomainId id;
    /// Configured weight, at least 0; 0 if the failure domain is drained.
    double weight = 1;
    /// Ratio of busy slots and queued requests to usable slots; may exceed 1 if requests are queued.
    double utilization = 0;
    /// True if the failure domain has usable upstreams of the service or has not reported its load yet.
    bool isUsable = true;
};

/// Computes the shares by preference: each failure domain, nearest first, takes as much as its weight and load allow
/// and leaves the rest to the next ones. Traffic that exceeds the capacity of all is distributed by weight.
auto targetShares(const std::vector<DomainState>& nearestFirst) -> TrafficShares;

/// Moves the shares of unreachable failure domains to the others, in proportion to the target. This is not capped,
/// since requests sent to an unreachable failure domain would fail.
auto redistributeUnreachable(const TrafficShares& current, const std::set<Core::FailureDomainId>& reachable,
    const TrafficShares& target) -> TrafficShares;

/// Returns the shares after one step towards the target that moves at most the given share of the traffic. Moves the
/// shares of the excluded failure domains first; the target is expected to give them no share.
auto stepTowards(const TrafficShares& current, const TrafficShares& target,
    const std::set<Core::FailureDomainId>& excluded, Core::Share cap) -> TrafficShares;

/// Returns the share of the traffic that changes its failure domain between the two, 0 to 1.
auto movedShare(const TrafficShares& from, const TrafficShares& to) -> double;

} // namespace Steering
