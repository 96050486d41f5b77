#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Ports {

/// Request or answer that passes through unread; front end and exchange client know what is in it.
class Message {
public:
    virtual ~Message() = default;
};

using MessagePointer = std::shared_ptr<const Message>;

/// One start of an upstream. The same id with another start is another process that remembers nothing.
struct UpstreamTarget {
    Core::UpstreamId id;
    Core::StartMark start;
    Core::Address address;

    friend auto operator<=>(const UpstreamTarget&, const UpstreamTarget&) -> std::strong_ordering = default;
};

/// Load that an upstream names in an answer.
struct ReportedLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    Core::SlotCount slots;
};

struct ExchangeCall {
    UpstreamTarget target;
    Core::RequestId id;
    MessagePointer request;
    /// The upstream is told to give up after this time.
    Core::Duration timeLeft {};
    /// Called when the upstream has closed a kept connection before its time: its process may have ended since.
    std::function<void()> connectionEnded;
};

enum class ExchangeOutcome : std::uint8_t {
    /// The whole answer of this request arrived.
    Answered,
    /// The upstream said that it did not run the request, and never will.
    NotRun,
    /// Another upstream has the address; the request did not run.
    Misdirected,
    /// No byte of the request was written.
    NotSent,
    /// The connection ended after bytes were written; the request may have run.
    Lost,
    /// The time passed without an answer; the request may have run.
    TimedOut,
    /// The answer was malformed; the request may have run.
    Invalid,
    /// The exchange was given up; the request may have run.
    Cancelled,
};

auto toString(ExchangeOutcome outcome) -> std::string;

struct ExchangeResult {
    ExchangeOutcome outcome = ExchangeOutcome::NotSent;
    /// Set when outcome is Answered.
    MessagePointer answer;
    /// Status of the answer in the upstream's own code; 0 without one.
    int status = 0;
    /// The upstream failed on its own account, though it answered.
    bool isUpstreamError = false;
    std::optional<ReportedLoad> load;
    bool reusedConnection = false;
    std::string detail;
};

/// What an upstream says of itself when it is asked for its health.
struct HealthReport {
    Core::UpstreamId id;
    bool isHealthy = false;
    /// Time for which it stays cold; zero when it is warm.
    Core::Duration coldLeft {};
    std::optional<ReportedLoad> load;
};

/// Exchange that was started.
class Exchange {
public:
    virtual ~Exchange() = default;
    /// Ends the exchange and the upstream's work on it; the callback still comes.
    virtual auto cancel() -> void = 0;
};

/// Sends requests to upstreams.
class ExchangeClient {
public:
    using ResultCallback = std::function<void(ExchangeResult)>;
    using HealthCallback = std::function<void(Core::Result<HealthReport>)>;

    virtual ~ExchangeClient() = default;
    /// Calls back exactly once, at the latest shortly after the time left.
    virtual auto start(ExchangeCall call, ResultCallback callback) -> std::shared_ptr<Exchange> = 0;
    /// Fails with Unreachable when nothing is there to answer, and with Timeout when the answer is late.
    virtual auto askHealth(const UpstreamTarget& target, const std::string& path, HealthCallback callback) -> void = 0;
};

} // namespace Ports
