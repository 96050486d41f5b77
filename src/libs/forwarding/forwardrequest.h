#pragma once

#include "core/refusal.h"
#include "core/requestorigin.h"
#include "forwarding/objectkey.h"
#include "organisations/apikey.h"
#include "ports/exchangeclient.h"

#include <functional>
#include <optional>
#include <variant>

namespace Forwarding {

/// Connection of the caller that waits for the answer.
class CallerConnection {
public:
    virtual ~CallerConnection() = default;
    /// Returns true if the caller has closed it. Thread-safe.
    [[nodiscard]] virtual auto isClosed() const -> bool = 0;
    /// Returns where the request came in, or std::nullopt if the front end does not number connections.
    [[nodiscard]] virtual auto origin() const -> std::optional<Core::RequestOrigin> { return std::nullopt; }
};

/// Request that is forwarded unchanged, with the attributes that determine how it is routed.
struct ForwardRequest {
    Core::RequestId id;
    std::string host;
    std::string path;
    /// Empty if the request concerns no object.
    ObjectKey object;
    /// Empty if the request carries none.
    std::optional<Organisations::ApiKey> apiKey;
    /// Time for which the caller waits, counted from now; empty if the caller did not specify it.
    std::optional<Core::Duration> callerTimeout;
    Ports::MessagePointer message;
    /// Null if the front end cannot tell whether the caller is still there.
    std::shared_ptr<const CallerConnection> caller;
};

/// Reply that the system sends in place of an upstream's answer.
struct ForwardRefusal {
    Core::RunOutcome outcome = Core::RunOutcome::NotRun;
    Core::RefusalReason reason = Core::RefusalReason::Overloaded;
    std::string message;
    /// Time after which the caller may retry; zero if a retry is pointless.
    Core::Duration retryAfter {};
};

/// Large answer of an upstream, of which only the head has arrived.
struct StreamedAnswer {
    Ports::MessagePointer head;
    /// Read to its end or cancelled by the front end. Fails if the answer breaks off.
    std::shared_ptr<Ports::BodyStream> body;
};

using ForwardReply = std::variant<Ports::MessagePointer, ForwardRefusal, StreamedAnswer>;
using ForwardCallback = std::function<void(ForwardReply)>;

/// Handle to a request that is being forwarded.
class OpenRequest {
public:
    virtual ~OpenRequest() = default;
    /// Stops the forwarding because the caller has disconnected. If the request has no reply yet, its callback receives
    /// a refusal.
    virtual auto abandon() -> void = 0;
};

} // namespace Forwarding
