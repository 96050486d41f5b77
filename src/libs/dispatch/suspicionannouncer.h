#pragma once

#include "dispatch/requestquarantine.h"

#include <functional>

namespace Dispatch {

/// Tells other entry VMs of a request that may crash upstreams.
class SuspicionAnnouncer {
public:
    virtual ~SuspicionAnnouncer() = default;
    /// Calls back once, when the others have taken it or the time for that has passed.
    virtual auto announce(const CrashSuspicion& suspicion, std::function<void()> done) -> void = 0;
};

} // namespace Dispatch
