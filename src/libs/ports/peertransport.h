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
    /// Encoded as CBOR.
    std::string payload;
};

/// Sends encoded messages to other entry VMs.
class PeerTransport {
public:
    using ReplyCallback = std::function<void(Core::Result<std::string>)>;

    virtual ~PeerTransport() = default;
    /// Calls back exactly once: with the payload of the reply, with Unreachable if no byte was sent, with
    /// OutcomeUnknown if the message may have arrived, or with Timeout.
    virtual auto call(const Core::Address& peer, PeerMessage message, Core::Duration timeout, ReplyCallback callback)
        -> void
        = 0;
};

/// Dispatches encoded messages from other entry VMs to the handlers that features register for each kind.
class PeerRouter {
public:
    using Respond = std::function<void(Core::Result<std::string>)>;
    using Handler = std::function<void(std::string payload, Respond respond)>;

    virtual ~PeerRouter() = default;
    virtual auto registerHandler(std::string kind, Handler handler) -> void = 0;
};

} // namespace Ports
