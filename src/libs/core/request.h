#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/requestkey.h"
#include "core/units.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace Core {

/// Request of a caller to a service, independent of the front end that decoded it.
struct ServiceRequest {
    RequestId id;
    ServiceId service;
    CallerId caller;
    /// Time after which the caller no longer needs the answer.
    Instant deadline;
    /// Required for services that are not idempotent.
    std::optional<RequestKey> key;
    /// Operation that the upstream is to perform; opaque to the system.
    std::string operation;
    std::string body;
    /// Number of entry VMs that the request has passed through before this one.
    std::uint32_t hops = 0;
};

/// Complete answer of an upstream.
struct Answer {
    RequestId id;
    UpstreamId upstream;
    /// Status code as defined by the upstream.
    int status = 0;
    std::string contentType;
    std::string body;
};

using Reply = std::variant<Answer, Refusal>;
using ReplyCallback = std::function<void(Reply)>;

} // namespace Core
