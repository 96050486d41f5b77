#pragma once

#include "core/ids.h"
#include "core/rank.h"
#include "core/units.h"

namespace Configuration {

/// Steering policy of one service.
struct ServicePolicy {
    Core::ServiceId service;
    /// Service in the platform's list whose upstreams run this service; the service itself if empty. Services with the
    /// same pool compete for its slots by rank.
    Core::ServiceId pool;
    Core::Rank rank = Core::Rank::Normal;
    /// True if requests may safely run more than once.
    bool isIdempotent = true;
    /// True if a non-idempotent request must be acknowledged by a backup before it starts.
    bool needsBackup = true;
    /// Target latency as seen by callers.
    Core::Millis targetLatency { 100 };
    /// Value of one answer relative to other services; greater than 0.
    double worth = 1;
    /// Share of the capacity that is reserved for this service when others overload the pool, 0 to 1.
    Core::Share floor { 0 };
    Core::Bytes maximumBody { 64 * 1024 };
};

} // namespace Configuration
