#pragma once

#include "ports/metricsink.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Metrics {

/// Single value that is read when the metrics are.
struct Reading {
    enum class Type : std::uint8_t { Gauge, Counter };

    /// Without the prefix "dragonflywinch_".
    std::string name;
    Type type = Type::Gauge;
    std::function<std::uint64_t()> value;
};

/// Latency by service and rank as histograms, and counters beside them. Each thread counts in a shard of its own; the
/// shards are added up when the metrics are read.
class Metrics : public Ports::MetricSink {
public:
    explicit Metrics(std::vector<Reading> readings);
    ~Metrics() override;

    auto requestStarted(const Core::ServiceId& service) -> void override;
    auto requestEnded(const Ports::RequestMetric& metric) -> void override;
    auto upstreamEnded(const Core::ServiceId& service, Ports::UpstreamOutcome outcome) -> void override;

    /// Prometheus text format 0.0.4.
    [[nodiscard]] auto text() const -> std::string;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Metrics
