#include "metrics/prometheustext.h"

#include <sstream>

namespace Metrics {

namespace {

    auto toString(Ports::UpstreamOutcome outcome) -> std::string_view
    {
        using Ports::UpstreamOutcome;
        switch (outcome) {
        case UpstreamOutcome::Answered:
            return "answered";
        case UpstreamOutcome::Shed:
            return "shed";
        case UpstreamOutcome::NotSent:
            return "not-sent";
        case UpstreamOutcome::Lost:
            return "lost";
        case UpstreamOutcome::TimedOut:
            return "timed-out";
        case UpstreamOutcome::Invalid:
            break;
        }
        return "invalid";
    }

    auto label(std::string_view name, std::string_view value) -> std::string
    {
        std::string text(name);
        text += "=\"";
        for (const auto character : value) {
            if (character == '"' || character == '\\')
                text += '\\';
            text += character == '\n' ? ' ' : character;
        }
        return text + '"';
    }

    auto writeTypeLine(std::ostream& stream, std::string_view name, std::string_view type) -> void
    {
        stream << "# TYPE dragonflywinch_" << name << ' ' << type << '\n';
    }

    auto writeLatencyHistogram(std::ostream& stream, const std::string& labels, const detail::Latency& latency) -> void
    {
        const std::string name = "dragonflywinch_request_duration_seconds";
        const auto& axis = latency.histogram.axis();
        auto cumulative = static_cast<std::uint64_t>(latency.histogram.at(-1));
        for (int bin = 0; bin < axis.size(); ++bin) {
            cumulative += static_cast<std::uint64_t>(latency.histogram.at(bin));
            stream << name << "_bucket{" << labels << ",le=\"" << axis.value(bin + 1) << "\"} " << cumulative << '\n';
        }
        stream << name << "_bucket{" << labels << ",le=\"+Inf\"} " << latency.count << '\n';
        stream << name << "_sum{" << labels << "} " << latency.sumSeconds << '\n';
        stream << name << "_count{" << labels << "} " << latency.count << '\n';
    }

    auto writeLatencies(std::ostream& stream, const Counts& counts) -> void
    {
        writeTypeLine(stream, "request_duration_seconds", "histogram");
        for (const auto& [key, latency] : counts.latencies) {
            const auto labels = label("service", key.service.value()) + ',' + label("rank", Core::toString(key.rank));
            writeLatencyHistogram(stream, labels, latency);
        }
    }

    auto writeRefusals(std::ostream& stream, const Counts& counts) -> void
    {
        writeTypeLine(stream, "refusals_total", "counter");
        for (const auto& [key, count] : counts.refusals) {
            stream << "dragonflywinch_refusals_total{" << label("service", key.service.value()) << ','
                   << label("reason", Core::toString(key.reason)) << ','
                   << label("outcome", Core::toString(key.outcome)) << "} " << count << '\n';
        }
    }

    auto writeUpstreams(std::ostream& stream, const Counts& counts) -> void
    {
        writeTypeLine(stream, "upstream_outcomes_total", "counter");
        for (const auto& [key, count] : counts.upstreams) {
            stream << "dragonflywinch_upstream_outcomes_total{" << label("service", key.service.value()) << ','
                   << label("outcome", toString(key.outcome)) << "} " << count << '\n';
        }
    }

    auto writeInFlight(std::ostream& stream, const Counts& counts) -> void
    {
        writeTypeLine(stream, "requests_in_flight", "gauge");
        for (const auto& [service, count] : counts.inFlight)
            stream << "dragonflywinch_requests_in_flight{" << label("service", service.value()) << "} " << count
                   << '\n';
    }

    auto writeCallbackMetric(std::ostream& stream, const CallbackMetric& metric) -> void
    {
        writeTypeLine(stream, metric.name, metric.type == CallbackMetric::Type::Gauge ? "gauge" : "counter");
        if (metric.label.empty()) {
            stream << "dragonflywinch_" << metric.name << ' ' << metric.value() << '\n';
            return;
        }
        for (const auto& [value, count] : metric.valuesByLabel())
            stream << "dragonflywinch_" << metric.name << '{' << label(metric.label, value) << "} " << count << '\n';
    }

} // namespace

auto prometheusText(const Counts& counts, const std::vector<CallbackMetric>& callbackMetrics) -> std::string
{
    std::ostringstream stream;
    writeLatencies(stream, counts);
    writeRefusals(stream, counts);
    writeUpstreams(stream, counts);
    writeInFlight(stream, counts);
    for (const auto& metric : callbackMetrics)
        writeCallbackMetric(stream, metric);
    return stream.str();
}

} // namespace Metrics
