#pragma once

#include "core/units.h"

#include <algorithm>
#include <cstddef>

namespace Membership {

/// Intervals and limits of the gossip protocol. The intervals of bulk traffic grow with the number of members, which
/// bounds the bytes per member and second.
struct GossipTiming {
    /// Interval between rounds of heartbeats.
    Core::Millis heartbeatInterval { 400 };
    Core::Millis probeTimeout { 250 };
    Core::Millis relayTimeout { 400 };
    Core::Millis exchangeTimeout { 800 };
    /// Time after which a suspected member is declared dead unless it refutes the suspicion.
    Core::Millis suspicionTimeout { 5000 };
    /// Time for which the record of a member is retained after it was last refreshed or changed.
    Core::Millis retention { 90'000 };
    /// Interval between attempts to contact an address that does not belong to a known live member.
    Core::Millis seedInterval { 1000 };
    Core::Millis minimumRefresh { 1000 };
    Core::Millis refreshPerMember { 100 };
    Core::Millis minimumExchange { 1000 };
    Core::Millis exchangePerMember { 20 };
    /// Minimum interval between exchanges of one pair of failure domains.
    Core::Millis minimumDomainExchange { 1200 };
    Core::Millis domainExchangePerDomain { 100 };
    std::size_t ringProbes = 2;
    std::size_t randomProbes = 1;
    std::size_t relays = 2;
    /// Number of members to which an urgent change is pushed immediately.
    std::size_t pushFanout = 3;
    std::size_t urgentRecords = 6;
    /// Number of live members whose records are sent to other failure domains.
    std::size_t representatives = 4;
    std::size_t minimumDelegates = 2;
    std::size_t maximumDelegates = 8;
    std::size_t membersPerDelegate = 8;
};

inline auto refreshInterval(const GossipTiming& timing, std::size_t members) -> Core::Duration
{
    return std::max<Core::Duration>(timing.minimumRefresh, timing.refreshPerMember * members);
}

inline auto exchangeInterval(const GossipTiming& timing, std::size_t members) -> Core::Duration
{
    return std::max<Core::Duration>(timing.minimumExchange, timing.exchangePerMember * members);
}

inline auto delegateCount(const GossipTiming& timing, std::size_t members) -> std::size_t
{
    return std::clamp(members / timing.membersPerDelegate, timing.minimumDelegates, timing.maximumDelegates);
}

} // namespace Membership
