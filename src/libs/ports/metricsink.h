#pragma once

#include "core/rank.h"
#include "core/refusal.h"
#include "core/units.h"
#include "ports/upstreamclient.h"

#include <optional>

namespace Ports {

/// Result of one request of a caller.
struct RequestMetric {
    Core::ServiceId service;
    Core::Rank rank = Core::Rank::Normal;
    /// Time from the arrival of the complete request to its reply.
    Core::Duration latency {};
    /// Empty if an upstream's answer was returned.
    std::optional<Core::RefusalReason> refusal;
    Core::RunOutcome outcome = Core::RunOutcome::NotRun;
};

/// Collects metrics of the process. Thread-safe; never blocks on I/O.
class MetricSink {
public:
    virtual ~MetricSink() = default;
    virtual auto requestStarted(const Core::ServiceId& service) -> void = 0;
    virtual auto requestEnded(const RequestMetric& metric) -> void = 0;
    virtual auto upstreamEnded(const Core::ServiceId& service, UpstreamOutcome outcome) -> void = 0;
};

} // namespace Ports
