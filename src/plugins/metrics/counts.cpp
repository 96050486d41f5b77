#include "metrics/counts.h"

namespace Metrics {

auto Counts::add(const Counts& other) -> void
{
    for (const auto& [key, latency] : other.latencies) {
        auto& own = latencies[key];
        own.histogram += latency.histogram;
        own.sumSeconds += latency.sumSeconds;
        own.count += latency.count;
    }
    for (const auto& [key, count] : other.refusals)
        refusals[key] += count;
    for (const auto& [key, count] : other.upstreams)
        upstreams[key] += count;
    for (const auto& [service, count] : other.inFlight)
        inFlight[service] += count;
}

} // namespace Metrics
