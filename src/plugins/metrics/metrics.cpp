#include "metrics/metrics.h"

#include "core/sharded.h"
#include "metrics/prometheustext.h"

#include <thread>

namespace Metrics {

class Metrics::Implementation {
public:
    explicit Implementation(std::vector<CallbackMetric> callbackMetrics)
        : m_callbackMetrics(std::move(callbackMetrics))
    {
    }

    template <typename Visitor> auto update(Visitor&& visitor) -> void
    {
        m_counts.with(std::this_thread::get_id(), std::forward<Visitor>(visitor));
    }

    auto text() -> std::string
    {
        Counts total;
        m_counts.forEach([&total](const Counts& counts) { total.merge(counts); });
        return prometheusText(total, m_callbackMetrics);
    }

private:
    std::vector<CallbackMetric> m_callbackMetrics;
    Core::Sharded<Counts> m_counts;
};

Metrics::Metrics(std::vector<CallbackMetric> callbackMetrics)
    : m_implementation(std::make_unique<Implementation>(std::move(callbackMetrics)))
{
}

Metrics::~Metrics() = default;

auto Metrics::requestStarted(const Core::ServiceId& service) -> void
{
    m_implementation->update([&service](Counts& counts) { ++counts.inFlight[service]; });
}

auto Metrics::requestEnded(const Ports::RequestMetric& metric) -> void
{
    const auto seconds = std::chrono::duration<double>(metric.latency).count();
    m_implementation->update([&metric, seconds](Counts& counts) {
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
    m_implementation->update([&service, outcome](Counts& counts) { ++counts.upstreams[{ service, outcome }]; });
}

auto Metrics::text() const -> std::string { return m_implementation->text(); }

} // namespace Metrics
