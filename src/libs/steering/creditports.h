#pragma once

#include "configuration/servicepolicy.h"
#include "core/error.h"
#include "core/request.h"
#include "fleet/fleetlist.h"
#include "steering/credit.h"

#include <functional>
#include <optional>

namespace Steering {

/// Credit and the entry VM that granted it, which is the only one that accepts it.
struct HeldCredit {
    Fleet::EntryVm destination;
    CreditId id;
};

/// Supplies credits for relayed requests. Thread-safe.
class CreditSource {
public:
    using CreditCallback = std::function<void(std::optional<HeldCredit>)>;

    virtual ~CreditSource() = default;
    /// Counts a request that arrived at this entry VM. The movement cap is relative to these arrivals.
    virtual auto countArrival() -> void = 0;
    /// Calls back exactly once, either immediately or after a destination has responded. The callback receives no
    /// credit if none is granted or if the movement cap or the link budget is exhausted.
    virtual auto acquire(const Configuration::ServicePolicy& policy, Core::Bytes size, CreditCallback callback) -> void
        = 0;
    /// Charges the reply to a relayed request to the budget of the link from the given region.
    virtual auto countReply(const Core::RegionId& from, Core::Rank rank, Core::Bytes size) -> void = 0;
};

enum class Redemption : std::uint8_t {
    Accepted,
    /// The credit has expired, was granted to another source or never granted, or the destination has stopped granting.
    Invalid,
    /// The credit was used before, or the service has no such grant, for example long after the grant expired or after
    /// a restart of the destination: an earlier copy of the same relayed request may have used the credit.
    PossibleDuplicate,
    /// The destination's own work has used up the headroom since the grant.
    HeadroomExhausted,
};

/// Validates the credits of relayed requests at the destination.
class CreditRedeemer {
public:
    virtual ~CreditRedeemer() = default;
    /// Consumes the credit, even if the headroom is exhausted.
    virtual auto redeem(const CreditId& credit, const Core::FailureDomainId& source, const Core::ServiceId& service)
        -> Redemption = 0;
    /// Ends the reservation of an accepted redemption. Must be called once for each, after the request has been handed
    /// to the dispatcher, which includes it in its load from then on.
    virtual auto markDispatched(const Core::ServiceId& service) -> void = 0;
};

/// Requests credits from other entry VMs.
class CreditPort {
public:
    using GrantCallback = std::function<void(Core::Result<CreditGrant>)>;

    virtual ~CreditPort() = default;
    /// Calls back exactly once.
    virtual auto requestCredits(const Fleet::EntryVm& destination, CreditRequest request, GrantCallback callback)
        -> void
        = 0;
};

/// Grants credits to other entry VMs.
class CreditHandler {
public:
    virtual ~CreditHandler() = default;
    virtual auto grant(const CreditRequest& request) -> CreditGrant = 0;
};

} // namespace Steering
