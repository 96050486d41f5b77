#pragma once

#include "dispatch/requestquarantine.h"
#include "fleet/fleetlist.h"

#include <functional>

namespace Suspicion {

/// Carries crash suspicions to other entry VMs.
class SuspicionPort {
public:
    virtual ~SuspicionPort() = default;
    /// Calls back exactly once, with or without success, after a bounded time.
    virtual auto send(
        const Fleet::EntryVm& target, const Dispatch::CrashSuspicion& suspicion, std::function<void()> callback) -> void
        = 0;
};

} // namespace Suspicion
