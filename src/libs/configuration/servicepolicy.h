#pragma once

#include "core/ids.h"
#include "core/rank.h"
#include "core/units.h"

namespace Configuration {

/// How one service is steered.
struct ServicePolicy {
    Core::ServiceId service;
    /// Service in the platform's list whose upstreams run this one; the service itself when empty. Services that name
    /// the same pool compete for its slots by rank.
    Core::ServiceId pool;
    Core::Rank rank = Core::Rank::Normal;
    /// Requests may run more than once without harm.
    bool isIdempotent = true;
    /// A non-idempotent request waits for a backup's acknowledgement before it starts.
    bool needsBackup = true;
    /// Latency that callers should see.
    Core::Millis targetLatency { 100 };
    /// Worth of one answer relative to other services, above 0.
    double worth = 1;
    /// Share of the capacity that this service keeps while others flood, 0 to 1.
    Core::Share floor { 0 };
    Core::Bytes maximumBody { 64 * 1024 };
};

} // namespace Configuration
