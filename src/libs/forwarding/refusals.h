#pragma once

#include "core/refusal.h"
#include "forwarding/servicepool.h"
#include "ports/randomsource.h"

namespace Forwarding {

/// Message of a refusal that nobody waits for any more.
constexpr auto callerDisconnected = "the caller disconnected";

/// Lower bound of every retry delay.
constexpr Core::Millis minimumRetryAfter { 100 };

/// Why a request is refused before anything was sent, and when capacity is expected.
struct RefusalCause {
    Core::RefusalReason reason = Core::RefusalReason::Overloaded;
    std::string message;
    Core::Duration wait {};
};

/// Returns the refusal of a request for which no upstream could be chosen.
auto refusalCauseOf(const ChoiceFailure& failure) -> RefusalCause;

/// Returns the retry delay for a caller that should wait for the given time. Jitter spreads the retries of many
/// callers, and the delay leaves each enough of its timeout for its retry to be served.
auto retryDelay(Core::Duration wait, Core::Duration callerTimeout, Ports::RandomSource& random) -> Core::Duration;

} // namespace Forwarding
