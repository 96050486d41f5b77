#pragma once

#include "core/ids.h"
#include "core/units.h"

namespace EntryFleet {

/// Registration of an entry VM in the store.
struct EntryVmEntry {
    Core::EntryVmId id;
    Core::ProcessStartId start;
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
    /// Address that accepts requests of callers.
    Core::Address front;
    /// Address that receives heartbeats.
    Core::Address heartbeats;
    /// Address that receives messages of other entry VMs.
    Core::Address peers;
};

/// Periodic message with which an entry VM shows that it is alive.
struct Heartbeat {
    Core::EntryVmId sender;
    Core::ProcessStartId start;
    bool isLeaving = false;
};

/// Sends heartbeats to other entry VMs without a guarantee of delivery.
class HeartbeatPort {
public:
    virtual ~HeartbeatPort() = default;
    virtual auto send(const Core::Address& to, const Heartbeat& heartbeat) -> void = 0;
};

} // namespace EntryFleet
