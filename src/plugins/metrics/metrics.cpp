#include "metrics/metrics.h"

#include "core/sharded.h"
#include "metrics/prometheustext.h"

#include <thread>

namespace Metrics {

class Metrics::Implementation {
public:
    explicit Implementation(std::vector<Reading> readings)
        : m_readings(std::move(readings))
    {
    }

    template <typename Visitor> auto count(Visitor&& visitor) -> void
    {
        m_counts.with(std::this_thread::get_id(), std::forward<Visitor>(visitor));
    }

    auto text() -> std::string
    {
        Counts sum;
        m_counts.forEach([&sum](const Counts& counts) { sum.add(counts); });
        return prometheusText(sum, m_readings);
    }

private:
    std::vector<Reading> m_readings;
    Core::Sharded<Counts> m_counts;
};

Metrics::Metrics(std::vector<Reading> readings)
    : m_implementation(std::make_unique<Implementation>(std::move(readings)))
{
}

Metrics::~Metrics() = default;

auto Metrics::requestStarted(const Core::ServiceId& service) -> void
{
    m_implementation->count([&service](Counts& counts) { ++counts.inFlight[service]; });
}

auto Metrics::requestEnded(const Ports::RequestMetric& metric) -> void
{
    const auto seconds = std::chrono::duration<double>(metric.latency).count();
    m_implementation->count([&metric, seconds](Counts& counts) {
        --counts.inFlight[metric.service];
        auto& latency = counts.latencies[{ metric.service, metric.rank }];
        latency.histogram(seconds);
        latency.sumSeconds += seconds;
        ++latency.count;
        if (metric.refusal)
            ++counts.refusals[{ metric.service, *metric.refusal, metric.outcome }];
    });
}

auto Metrics::upstreamEnded(const Core::ServiceId& service, Ports::UpstreamOutcome outcome) -> void
{
    m_implementation->count([&service, outcome](Counts& counts) { ++counts.upstreams[{ service, outcome }]; });
}

auto Metrics::text() const -> std::string { return m_implementation->text(); }

} // namespace Metrics
