#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <vector>

namespace Fleet {

enum class MemberState : std::uint8_t { Live, Leaving };

/// Entry VM as the platform's list names it.
struct EntryVm {
    Core::EntryVmId id;
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
    /// Where callers connect.
    Core::Address address;
    /// Where other entry VMs connect.
    Core::Address peerAddress;
    MemberState state = MemberState::Live;
};

/// Upstream endpoint as the platform's list names it.
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

/// The platform's list of live and leaving VMs; lags behind the truth.
struct FleetList {
    Core::Version version;
    std::vector<EntryVm> entryVms;
    std::vector<Upstream> upstreams;
};

} // namespace Fleet
