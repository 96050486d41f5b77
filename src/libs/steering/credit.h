#pragma once

#include "core/ids.h"
#include "core/strongtype.h"
#include "core/units.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace Steering {

/// Random number of one grant; unknown to a destination that restarted since.
using GrantId = Core::StrongType<struct GrantIdTag, std::uint64_t>;

/// One credit: permission to relay one request across failure domains, used at most once.
struct CreditId {
    GrantId grant;
    std::uint32_t index = 0;

    friend auto operator<=>(const CreditId&, const CreditId&) -> std::strong_ordering = default;
};

/// Question of a source to one destination VM for credits of a service.
struct CreditRequest {
    Core::FailureDomainId source;
    Core::ServiceId service;
    std::uint32_t wanted = 0;
};

/// Credits that a destination gives out; credits 0 to count - 1 of the grant.
struct CreditGrant {
    GrantId id;
    std::uint32_t count = 0;
    /// Time from the moment of asking after which unused credits are void.
    Core::Duration lifetime {};
};

} // namespace Steering
