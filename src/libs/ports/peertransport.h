#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <string>

namespace Ports {

/// Encoded message between two entry VMs; its kind selects the handler, for example "ledger.intent".
struct PeerMessage {
    std::string kind;
    /// CBOR.
    std::string payload;
};

/// Carries encoded messages to other entry VMs.
class PeerTransport {
public:
    using ReplyCallback = std::function<void(Core::Result<std::string>)>;

    virtual ~PeerTransport() = default;
    /// Calls back exactly once: with the reply's payload, Unreachable when no byte was sent, OutcomeUnknown when the
    /// message may have arrived, or Timeout.
    virtual auto call(const Core::Address& peer, PeerMessage message, Core::Duration timeout, ReplyCallback callback)
        -> void
        = 0;
};

/// Dispatches encoded messages that arrive from other entry VMs; features register their kinds here.
class PeerRouter {
public:
    using Respond = std::function<void(Core::Result<std::string>)>;
    using Handler = std::function<void(std::string payload, Respond respond)>;

    virtual ~PeerRouter() = default;
    virtual auto registerHandler(std::string kind, Handler handler) -> void = 0;
};

} // namespace Ports
