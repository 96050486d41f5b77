#pragma once

#include "ports/metricsink.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Metrics {

/// Metric whose value a callback returns when the metrics are read, or its values by the value of one label.
struct CallbackMetric {
    enum class Type : std::uint8_t { Gauge, Counter };

    /// Excludes the prefix "dragonflywinch_".
    std::string name;
    Type type = Type::Gauge;
    std::function<std::uint64_t()> value;
    /// Name of the label, if there is one.
    std::string label;
    /// Takes the place of `value` if there is a label. The callback limits the number of values.
    std::function<std::map<std::string, std::uint64_t>()> valuesByLabel;
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
