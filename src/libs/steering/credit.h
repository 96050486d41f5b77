#pragma once

#include "core/ids.h"
#include "core/strongtype.h"
#include "core/units.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace Steering {

/// Random identifier of a grant. A destination that has restarted since the grant does not recognise it.
using GrantId = Core::StrongType<struct GrantIdTag, std::uint64_t>;

/// Identifies a credit: the permission to relay one request to another failure domain. Valid for a single use.
struct CreditId {
    GrantId grant;
    std::uint32_t index = 0;

    friend auto operator<=>(const CreditId&, const CreditId&) -> std::strong_ordering = default;
};

/// Request of a source failure domain to one destination VM for credits of a service.
struct CreditRequest {
    Core::FailureDomainId source;
    Core::ServiceId service;
    std::uint32_t wanted = 0;
};

/// Credits that a destination grants, with the indexes 0 to count - 1.
struct CreditGrant {
    GrantId id;
    std::uint32_t count = 0;
    /// Time after which unused credits expire, counted from when the source sent its request.
    Core::Duration lifetime {};
};

} // namespace Steering
