#pragma once

#include "core/ids.h"
#include "core/units.h"

namespace EntryFleet {

/// Entry VM as it registered itself in the store.
struct EntryVmEntry {
    Core::EntryVmId id;
    Core::StartMark start;
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
    /// Where callers connect.
    Core::Address front;
    /// Where heartbeats are received.
    Core::Address heartbeats;
    /// Where messages of other entry VMs are received.
    Core::Address peers;
};

/// Sign of life of one entry VM.
struct Heartbeat {
    Core::EntryVmId sender;
    Core::StartMark start;
    bool isLeaving = false;
};

/// Carries heartbeats between entry VMs; some get lost.
class HeartbeatPort {
public:
    virtual ~HeartbeatPort() = default;
    virtual auto send(const Core::Address& to, const Heartbeat& heartbeat) -> void = 0;
};

} // namespace EntryFleet
