#pragma once

#include "core/units.h"
#include "ledger/booking.h"

#include <functional>

namespace Ledger {

/// Reaches the backup that a key names. Each call calls back exactly once.
class BackupPort {
public:
    using IntentCallback = std::function<void(IntentOutcome)>;
    using KeepCallback = std::function<void(Core::Result<void>)>;
    using IntroduceCallback = std::function<void(Core::Result<Core::Incarnation>)>;
    using ResolveCallback = std::function<void(Core::Result<Resolution>)>;

    virtual ~BackupPort() = default;
    /// Asks an entry VM for its incarnation, which a key must name.
    virtual auto introduce(const Core::EntryVmId& vm, Core::Duration timeout, IntroduceCallback callback) -> void = 0;
    virtual auto announce(Intent intent, Core::Duration timeout, IntentCallback callback) -> void = 0;
    virtual auto keep(Outcome outcome, Core::Duration timeout, KeepCallback callback) -> void = 0;
    virtual auto resolve(Query query, Core::Duration timeout, ResolveCallback callback) -> void = 0;
};

/// Passes a booking to the home that its key names.
class HomeRelayPort {
public:
    using RelayCallback = std::function<void(Core::Result<Core::Reply>)>;

    virtual ~HomeRelayPort() = default;
    /// Calls back exactly once; an error says that the home did not reply or is another incarnation.
    virtual auto relay(Core::ServiceRequest request, Core::Duration timeout, RelayCallback callback) -> void = 0;
};

} // namespace Ledger
