#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "dispatch/quarantinedigest.h"

#include <optional>

namespace EntryFleet {

/// Processor time per time; 1 is one core.
using Cores = Core::StrongType<struct CoresTag, double>;

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
    /// Processor time that the VM may use; zero if it is not known.
    Cores processor;
};

/// Periodic message with which an entry VM shows that it is alive.
struct Heartbeat {
    Core::EntryVmId sender;
    Core::ProcessStartId start;
    bool isLeaving = false;
    /// Registration of the sender, as long as the store may not list it, and beside a digest.
    std::optional<EntryVmEntry> introduction;
    /// The heartbeat was passed on by another entry VM. It is not passed on again.
    bool isForwarded = false;
    /// The sender handles its events late.
    bool isBusy = false;
    /// What the sender has quarantined; zero in heartbeats that do not tell.
    Dispatch::QuarantineDigest quarantine;
};

/// Sends heartbeats to other entry VMs without a guarantee of delivery.
class HeartbeatPort {
public:
    virtual ~HeartbeatPort() = default;
    virtual auto send(const Core::Address& to, const Heartbeat& heartbeat) -> void = 0;
};

} // namespace EntryFleet
