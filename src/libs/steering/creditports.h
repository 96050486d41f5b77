#pragma once

#include "configuration/servicepolicy.h"
#include "core/error.h"
#include "core/request.h"
#include "fleet/fleetlist.h"
#include "steering/credit.h"

#include <functional>
#include <optional>

namespace Steering {

/// Credit together with the only entry VM that accepts it.
struct HeldCredit {
    Fleet::EntryVm destination;
    CreditId id;
};

/// Where the relay of requests gets its credits; safe to call from several threads.
class CreditSource {
public:
    using CreditCallback = std::function<void(std::optional<HeldCredit>)>;

    virtual ~CreditSource() = default;
    /// Counts a request that arrived here, which the movement cap is relative to.
    virtual auto countArrival() -> void = 0;
    /// Calls back exactly once, at once or when a destination has answered; without a credit when none is granted or
    /// the movement cap or the link's budget leaves no room.
    virtual auto acquire(const Configuration::ServicePolicy& policy, Core::Bytes size, CreditCallback callback) -> void
        = 0;
    /// Counts what the reply of a relayed request took of the link from that region.
    virtual auto countReply(const Core::RegionId& from, Core::Rank rank, Core::Bytes size) -> void = 0;
};

enum class Redemption : std::uint8_t {
    Accepted,
    /// Expired, or of another service or source.
    Invalid,
    /// Used, or of a grant that is no longer known: an earlier copy of the same relay may have come with it.
    MayBeCopy,
    /// The destination's own work has taken the headroom since the grant.
    HeadroomGone,
};

/// Decides at the destination whether a relayed request holds a valid credit.
class CreditRedeemer {
public:
    virtual ~CreditRedeemer() = default;
    /// Uses up the credit, also when the headroom is gone.
    virtual auto redeem(const CreditId& credit, const Core::FailureDomainId& source, const Core::ServiceId& service)
        -> Redemption = 0;
    /// Called once after an accepted redemption, when the dispatcher counts the request itself.
    virtual auto settle(const Core::ServiceId& service) -> void = 0;
};

/// Asks other entry VMs for credits.
class CreditPort {
public:
    using GrantCallback = std::function<void(Core::Result<CreditGrant>)>;

    virtual ~CreditPort() = default;
    /// Calls back exactly once.
    virtual auto ask(const Fleet::EntryVm& destination, CreditRequest request, GrantCallback callback) -> void = 0;
};

/// Grants credits to other entry VMs.
class CreditHandler {
public:
    virtual ~CreditHandler() = default;
    virtual auto grant(const CreditRequest& request) -> CreditGrant = 0;
};

} // namespace Steering
