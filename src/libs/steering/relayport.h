#pragma once

#include "core/error.h"
#include "core/request.h"
#include "fleet/fleetlist.h"
#include "steering/credit.h"

#include <functional>
#include <optional>
#include <variant>

namespace Steering {

/// Random number of one attempt to relay a request.
using AttemptId = Core::StrongType<struct AttemptIdTag, std::uint64_t>;

/// Request on its way to another entry VM.
struct RelayCall {
    /// The deadline is in the sender's own clock and does not travel; timeLeft does.
    Core::ServiceRequest request;
    Core::Duration timeLeft {};
    /// Failure domain of the sender.
    Core::FailureDomainId source;
    AttemptId attempt;
    /// Required when the receiver is in another failure domain.
    std::optional<CreditId> credit;
};

/// The request provably did not reach the other entry VM.
struct NotSent {
    Core::Error error;
};

/// The request may have reached the other entry VM; no usable reply came.
struct Lost {
    Core::Error error;
};

using RelayResult = std::variant<NotSent, Core::Reply, Lost>;
using RelayCallback = std::function<void(RelayResult)>;

/// Carries requests to other entry VMs.
class RelayPort {
public:
    virtual ~RelayPort() = default;
    /// Calls back exactly once, at the latest shortly after the call's time left.
    virtual auto relay(const Fleet::EntryVm& target, RelayCall call, RelayCallback callback) -> void = 0;
};

/// Takes requests that other entry VMs relay to this one.
class RelayHandler {
public:
    virtual ~RelayHandler() = default;
    /// Calls back exactly once.
    virtual auto accept(RelayCall call, Core::ReplyCallback callback) -> void = 0;
};

} // namespace Steering
