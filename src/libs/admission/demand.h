#pragma once

#include "core/ids.h"
#include "core/units.h"

namespace Admission {

/// Importance of a request; the smaller, the more urgent. The priority of the caller's organisation goes before that of
/// the route.
struct Urgency {
    /// That of the route if the organisation has none.
    int organisation = 0;
    int route = 0;

    friend auto operator<=>(const Urgency&, const Urgency&) -> std::strong_ordering = default;
};

/// What decides when a request is started, and what turning it away costs its caller.
struct Demand {
    Urgency urgency;
    /// Empty if the caller is not identified.
    Core::OrganisationId organisation;
    /// Time for which the request is expected to occupy a slot.
    Core::Duration work {};
    /// When the caller first asked for it, as far as that can be told; earlier than its arrival if it was refused once.
    Core::Instant askedAt;
    /// Latest start with which it is answered within its target latency.
    Core::Instant inTimeUntil;
    /// Latest start with which it is answered at all, and end of the time for which its caller is kept waiting.
    Core::Instant servableUntil;
};

} // namespace Admission
