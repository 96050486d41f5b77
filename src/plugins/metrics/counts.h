#pragma once

#include "ports/metricsink.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <compare>
#include <map>
#include <tuple>

namespace Metrics {

namespace detail {

    using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    inline auto latencyAxis() -> LatencyAxis
    {
        constexpr unsigned bins = 36;
        constexpr double lowestSeconds = 1e-4;
        constexpr double highestSeconds = 100;
        return { bins, lowestSeconds, highestSeconds };
    }

    using LatencyHistogram = decltype(boost::histogram::make_histogram(latencyAxis()));

    /// Request latencies of one service and rank.
    struct Latency {
        LatencyHistogram histogram = boost::histogram::make_histogram(latencyAxis());
        double sumSeconds = 0;
        std::uint64_t count = 0;
    };

    struct LatencyKey {
        Core::ServiceId service;
        Core::Rank rank = Core::Rank::Normal;
        friend auto operator<=>(const LatencyKey&, const LatencyKey&) -> std::strong_ordering = default;
    };

    struct RefusalKey {
        Core::ServiceId service;
        Core::RefusalReason reason = Core::RefusalReason::InvalidRequest;
        Core::RunOutcome outcome = Core::RunOutcome::NotRun;
        friend auto operator<=>(const RefusalKey&, const RefusalKey&) -> std::strong_ordering = default;
    };

    struct UpstreamKey {
        Core::ServiceId service;
        Ports::UpstreamOutcome outcome = Ports::UpstreamOutcome::NotSent;
        friend auto operator<=>(const UpstreamKey&, const UpstreamKey&) -> std::strong_ordering = default;
    };

} // namespace detail

/// Counts of one shard. inFlight holds differences, which may be negative in one shard but not in the sum of all
/// shards.
struct Counts {
    std::map<detail::LatencyKey, detail::Latency> latencies;
    std::map<detail::RefusalKey, std::uint64_t> refusals;
    std::map<detail::UpstreamKey, std::uint64_t> upstreams;
    std::map<Core::ServiceId, std::int64_t> inFlight;

    auto merge(const Counts& other) -> void;
};

} // namespace Metrics
