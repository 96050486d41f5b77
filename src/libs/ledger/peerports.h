#pragma once

#include "core/units.h"
#include "ledger/booking.h"

#include <functional>

namespace Ledger {

/// Sends messages to the backup named by a key. Each call invokes its callback exactly once.
class BackupPort {
public:
    using IntentCallback = std::function<void(IntentOutcome)>;
    using StoreCallback = std::function<void(Core::Result<void>)>;
    using IncarnationCallback = std::function<void(Core::Result<Core::Incarnation>)>;
    using ResolveCallback = std::function<void(Core::Result<Resolution>)>;

    virtual ~BackupPort() = default;
    /// Requests the incarnation of an entry VM, which is part of the keys that name it as backup.
    virtual auto fetchIncarnation(const Core::EntryVmId& vm, Core::Duration timeout, IncarnationCallback callback)
        -> void
        = 0;
    virtual auto announce(Intent intent, Core::Duration timeout, IntentCallback callback) -> void = 0;
    virtual auto storeOutcome(Outcome outcome, Core::Duration timeout, StoreCallback callback) -> void = 0;
    virtual auto resolve(Query query, Core::Duration timeout, ResolveCallback callback) -> void = 0;
};

/// Relays a booking to the home named by its key.
class HomeRelayPort {
public:
    using RelayCallback = std::function<void(Core::Result<Core::Reply>)>;

    virtual ~HomeRelayPort() = default;
    /// Invokes the callback exactly once, with an error if the home did not reply or is a different incarnation.
    virtual auto relay(Core::ServiceRequest request, Core::Duration timeout, RelayCallback callback) -> void = 0;
};

} // namespace Ledger
