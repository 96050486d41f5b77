#pragma once

#include "core/refusal.h"
#include "forwarding/objectkey.h"
#include "ports/exchangeclient.h"

#include <functional>
#include <variant>

namespace Forwarding {

/// Request that goes to an upstream as it came, with what its treatment depends on.
struct ForwardRequest {
    Core::RequestId id;
    std::string host;
    std::string path;
    /// Empty when the request is about no object.
    ObjectKey object;
    /// Time that the caller is ready to wait from now; empty when it did not say.
    std::optional<Core::Duration> patience;
    Ports::MessagePointer message;
};

/// The system's own answer in place of an upstream's.
struct ForwardRefusal {
    Core::RunOutcome outcome = Core::RunOutcome::NotRun;
    Core::RefusalReason reason = Core::RefusalReason::Overloaded;
    std::string message;
    /// Time after which the caller may come back; zero when that is of no use.
    Core::Duration retryAfter {};
};

using ForwardReply = std::variant<Ports::MessagePointer, ForwardRefusal>;
using ForwardCallback = std::function<void(ForwardReply)>;

/// Request that is being served.
class OpenRequest {
public:
    virtual ~OpenRequest() = default;
    /// The caller has gone: ends the work on the request. No reply comes afterwards.
    virtual auto abandon() -> void = 0;
};

} // namespace Forwarding
