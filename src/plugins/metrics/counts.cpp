#include "metrics/counts.h"

namespace Metrics {

auto Counts::merge(const Counts& other) -> void
{
    for (const auto& [key, latency] : other.latencies) {
        auto& merged = latencies[key];
        merged.histogram += latency.histogram;
        merged.sumSeconds += latency.sumSeconds;
        merged.count += latency.count;
    }
    for (const auto& [key, count] : other.refusals)
        refusals[key] += count;
    for (const auto& [key, count] : other.upstreams)
        upstreams[key] += count;
    for (const auto& [service, count] : other.inFlight)
        inFlight[service] += count;
}

} // namespace Metrics
