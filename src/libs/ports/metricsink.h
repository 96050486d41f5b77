#pragma once

#include "core/rank.h"
#include "core/refusal.h"
#include "core/units.h"
#include "ports/upstreamclient.h"

#include <optional>

namespace Ports {

/// How one request of a caller ended.
struct RequestMetric {
    Core::ServiceId service;
    Core::Rank rank = Core::Rank::Normal;
    /// From the arrival of the whole request to its reply.
    Core::Duration latency {};
    /// Empty when an upstream's answer was returned.
    std::optional<Core::RefusalReason> refusal;
    Core::RunOutcome outcome = Core::RunOutcome::NotRun;
};

/// Counts what the process does; called from several threads and never blocks on I/O.
class MetricSink {
public:
    virtual ~MetricSink() = default;
    virtual auto requestStarted(const Core::ServiceId& service) -> void = 0;
    virtual auto requestEnded(const RequestMetric& metric) -> void = 0;
    virtual auto upstreamEnded(const Core::ServiceId& service, UpstreamOutcome outcome) -> void = 0;
};

} // namespace Ports
