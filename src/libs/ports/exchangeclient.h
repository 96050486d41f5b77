#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/units.h"
#include "ports/bodystream.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Ports {

/// Opaque request or answer; only the front end and the exchange client know its content.
class Message {
public:
    virtual ~Message() = default;
};

using MessagePointer = std::shared_ptr<const Message>;

/// One process of an upstream. The same id with a different start denotes a new process without the earlier state.
struct UpstreamTarget {
    Core::UpstreamId id;
    Core::ProcessStartId start;
    Core::Address address;

    friend auto operator<=>(const UpstreamTarget&, const UpstreamTarget&) -> std::strong_ordering = default;
};

/// What an upstream says of itself in an answer to a request or a health check.
struct UpstreamSignals {
    /// The upstream is leaving, and no new request may be sent to it.
    bool isLeaving = false;
    /// Time for which the upstream, which is overloaded, asks this VM to send it nothing; zero if it does not ask.
    Core::Duration pause {};
};

/// Load that an upstream reports in an answer.
struct ReportedLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    Core::SlotCount slots;
    /// Time that work takes on the upstream's machine at the moment, in percent of its usual time; none if it does not
    /// say. The machine is shared with others, so that the value changes many times a second.
    std::optional<Core::Percent> workTime;
};

/// Identity of a caller, which its organisation's API key has proven. The upstream is told it in place of the key.
struct VerifiedCaller {
    /// Empty if the route is open to callers without a key.
    std::optional<Core::OrganisationId> organisation;
};

struct ExchangeCall {
    UpstreamTarget target;
    Core::RequestId id;
    MessagePointer request;
    /// Remaining time; also sent to the upstream, which should abandon the request when it expires.
    Core::Duration timeLeft {};
    /// Called right before the first byte of the request is written. If it returns false, nothing is written.
    std::function<bool()> isStillWanted = [] { return true; };
    /// Called if the upstream closed a keep-alive connection early, because its process may have ended since.
    std::function<void()> onConnectionClosed;
    /// None if callers need no key; the request's own headers then pass unchanged.
    std::optional<VerifiedCaller> caller;
};

enum class ExchangeOutcome : std::uint8_t {
    /// The answer to this request arrived: all of it, or its head if ExchangeResult::body is set.
    Answered,
    /// The upstream reported that it did not run the request and never will.
    NotRun,
    /// The address belongs to another upstream; the request did not run.
    Misdirected,
    /// No byte of the request was written, because it was cancelled or isStillWanted() returned false.
    Withdrawn,
    /// No byte of the request was written, because this VM lacks a resource, for example a file descriptor. Says
    /// nothing
    /// of the upstream.
    OwnShortage,
    /// No byte of the request was written.
    NotSent,
    /// The connection ended after bytes were written; the request may have run.
    Lost,
    /// The time expired without an answer; the request may have run.
    TimedOut,
    /// The answer was malformed; the request may have run.
    Invalid,
    /// The exchange was cancelled; the request may have run.
    Cancelled,
};

auto toString(ExchangeOutcome outcome) -> std::string;

struct ExchangeResult {
    ExchangeOutcome outcome = ExchangeOutcome::NotSent;
    /// Set when outcome is Answered.
    MessagePointer answer;
    /// Body of a large answer, of which only the head has arrived; null if the answer is whole. The exchange lasts
    /// until it has been read to its end, has failed or is cancelled.
    std::shared_ptr<BodyStream> body;
    /// Size of the body of a whole answer.
    Core::Bytes size;
    /// Status code of the answer as defined by the upstream; 0 if there is no answer.
    int status = 0;
    /// True if the upstream answered but reported a failure of its own.
    bool isUpstreamError = false;
    std::optional<ReportedLoad> load;
    UpstreamSignals signals;
    bool reusedConnection = false;
    /// Bytes of the request that had not reached the upstream's system when the exchange was cancelled.
    Core::Bytes unacknowledged;
    std::string detail;
};

/// Health that an upstream reports in response to a probe.
struct HealthReport {
    Core::UpstreamId id;
    bool isHealthy = false;
    /// Time for which the upstream remains cold; zero if it is warm.
    Core::Duration coldRemaining {};
    std::optional<ReportedLoad> load;
    UpstreamSignals signals;
};

/// Exchange in progress.
class Exchange {
public:
    virtual ~Exchange() = default;
    /// Ends the exchange and the upstream's work on it; the callback is still called.
    virtual auto cancel() -> void = 0;
};

/// Sends requests to upstreams.
class ExchangeClient {
public:
    using ResultCallback = std::function<void(ExchangeResult)>;
    using HealthCallback = std::function<void(Core::Result<HealthReport>)>;

    virtual ~ExchangeClient() = default;
    /// Calls back exactly once, at the latest shortly after the remaining time has expired.
    virtual auto start(ExchangeCall call, ResultCallback callback) -> std::shared_ptr<Exchange> = 0;
    /// Fails with Unreachable if nothing responds at the address, and with Timeout if the answer is late.
    virtual auto probeHealth(const UpstreamTarget& target, const std::string& path, HealthCallback callback) -> void
        = 0;
};

} // namespace Ports
