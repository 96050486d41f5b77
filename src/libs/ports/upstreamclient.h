#pragma once

#include "core/ids.h"
#include "core/rank.h"
#include "core/request.h"

#include <functional>
#include <string>

namespace Ports {

/// Request to be sent to one upstream endpoint.
struct UpstreamCall {
    Core::UpstreamId upstream;
    Core::Address address;
    Core::ServiceRequest request;
    Core::Rank rank = Core::Rank::Normal;
};

/// Result of a call to an upstream.
enum class UpstreamOutcome : std::uint8_t {
    /// The complete answer to this request arrived.
    Answered,
    /// The upstream reported that it refused the request before starting it.
    Shed,
    /// No byte of the request was written.
    NotSent,
    /// The connection ended after bytes were written; the request may have run.
    Lost,
    /// The deadline passed without an answer; the request may have run.
    TimedOut,
    /// The answer was malformed or belonged to another request; the request may have run.
    Invalid,
};

struct UpstreamResult {
    UpstreamOutcome outcome = UpstreamOutcome::NotSent;
    /// Set when outcome is Answered.
    Core::Answer answer;
    /// True if the upstream announced that it is draining.
    bool isDraining = false;
    /// True if the call used a connection that had served an earlier call.
    bool reusedConnection = false;
    std::string detail;
};

/// Load that an upstream reports; may be outdated or wrong.
struct LoadReport {
    Core::SlotCount slots;
    Core::SlotCount busy;
    bool isDraining = false;
};

/// Result of the cancellation of a request.
enum class CancelOutcome : std::uint8_t { CancelledBeforeStart, NotCancelled };

/// Sends requests to upstream endpoints.
class UpstreamClient {
public:
    using ResultCallback = std::function<void(UpstreamResult)>;
    using LoadCallback = std::function<void(Core::Result<LoadReport>)>;
    using CancelCallback = std::function<void(CancelOutcome)>;

    virtual ~UpstreamClient() = default;
    /// Calls back exactly once, at the latest shortly after the request's deadline.
    virtual auto send(UpstreamCall call, ResultCallback callback) -> void = 0;
    virtual auto queryLoad(const Core::Address& address, LoadCallback callback) -> void = 0;
    virtual auto cancel(const Core::Address& address, const Core::RequestId& id, CancelCallback callback) -> void = 0;
};

} // namespace Ports
