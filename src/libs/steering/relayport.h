#pragma once

#include "core/error.h"
#include "core/request.h"
#include "fleet/fleetlist.h"
#include "steering/credit.h"

#include <functional>
#include <optional>
#include <variant>

namespace Steering {

/// Random identifier of one attempt to relay a request.
using AttemptId = Core::StrongType<struct AttemptIdTag, std::uint64_t>;

/// Request that is relayed to another entry VM.
struct RelayCall {
    /// The deadline is in terms of the sender's clock and is not transmitted; timeLeft is.
    Core::ServiceRequest request;
    Core::Duration timeLeft {};
    /// Failure domain of the sender.
    Core::FailureDomainId source;
    AttemptId attempt;
    /// Required if the receiver is in another failure domain.
    std::optional<CreditId> credit;
};

/// The request is known not to have reached the other entry VM.
struct NotSent {
    Core::Error error;
};

/// The request may have reached the other entry VM, but no usable reply was received.
struct Lost {
    Core::Error error;
};

using RelayResult = std::variant<NotSent, Core::Reply, Lost>;
using RelayCallback = std::function<void(RelayResult)>;

/// Relays requests to other entry VMs.
class RelayPort {
public:
    virtual ~RelayPort() = default;
    /// Calls back exactly once, no later than shortly after the call's timeLeft has elapsed.
    virtual auto relay(const Fleet::EntryVm& target, RelayCall call, RelayCallback callback) -> void = 0;
};

/// Handles requests that other entry VMs relay to this one.
class RelayHandler {
public:
    virtual ~RelayHandler() = default;
    /// Calls back exactly once.
    virtual auto accept(RelayCall call, Core::ReplyCallback callback) -> void = 0;
};

} // namespace Steering
