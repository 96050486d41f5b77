#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <vector>

namespace Fleet {

enum class MemberState : std::uint8_t { Live, Leaving };

/// Entry VM in the platform's list.
struct EntryVm {
    Core::EntryVmId id;
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
    /// Address that accepts connections of callers.
    Core::Address address;
    /// Address that accepts connections of other entry VMs.
    Core::Address peerAddress;
    MemberState state = MemberState::Live;
};

/// Upstream endpoint in the platform's list.
struct Upstream {
    Core::UpstreamId id;
    Core::ServiceId service;
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
    Core::Address address;
    Core::SlotCount slots;
    Core::ConnectionCount connections;
    MemberState state = MemberState::Live;
};

/// The platform's list of live and leaving VMs. It lags behind the actual state.
struct FleetList {
    Core::Version version;
    std::vector<EntryVm> entryVms;
    std::vector<Upstream> upstreams;
};

} // namespace Fleet
