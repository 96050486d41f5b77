#pragma once

#include "ports/metricsink.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Metrics {

/// Metric with a single value, which a callback returns when the metrics are read.
struct CallbackMetric {
    enum class Type : std::uint8_t { Gauge, Counter };

    /// Excludes the prefix "dragonflywinch_".
    std::string name;
    Type type = Type::Gauge;
    std::function<std::uint64_t()> value;
};

/// Collects latency histograms by service and rank, and counters. Each thread updates the shard that its id selects;
/// the shards are merged when the metrics are read.
class Metrics : public Ports::MetricSink {
public:
    explicit Metrics(std::vector<CallbackMetric> callbackMetrics);
    ~Metrics() override;

    auto requestStarted(const Core::ServiceId& service) -> void override;
    auto requestEnded(const Ports::RequestMetric& metric) -> void override;
    auto upstreamEnded(const Core::ServiceId& service, Ports::UpstreamOutcome outcome) -> void override;

    /// Returns all metrics in the Prometheus text format 0.0.4.
    [[nodiscard]] auto text() const -> std::string;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Metrics
