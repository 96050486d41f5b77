#pragma once

#include "core/units.h"

#include <algorithm>
#include <cstddef>

namespace Membership {

/// Intervals and limits of the gossip protocol. The intervals of bulk traffic grow with the number of members, so that
/// the bytes for each member and second stay bounded.
struct GossipTiming {
    /// Between two rounds of heartbeats.
    Core::Millis period { 400 };
    Core::Millis probeTimeout { 250 };
    Core::Millis relayTimeout { 400 };
    Core::Millis exchangeTimeout { 800 };
    /// From suspicion to being declared dead, unless refuted.
    Core::Millis suspicionTimeout { 5000 };
    /// For which records of dead and unheard members are kept.
    Core::Millis retention { 90'000 };
    /// Between two attempts to reach an address that is not a known live member.
    Core::Millis seedInterval { 1000 };
    Core::Millis minimumRefresh { 1000 };
    Core::Millis refreshPerMember { 100 };
    Core::Millis minimumExchange { 1000 };
    Core::Millis exchangePerMember { 20 };
    /// Between two exchanges of a pair of failure domains.
    Core::Millis minimumDomainExchange { 1200 };
    Core::Millis domainExchangePerDomain { 100 };
    std::size_t ringProbes = 2;
    std::size_t randomProbes = 1;
    std::size_t relays = 2;
    /// Members that get an urgent change at once.
    std::size_t pushFanout = 3;
    std::size_t urgentRecords = 6;
    /// Members whose records other failure domains get.
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
