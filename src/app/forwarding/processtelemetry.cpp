#include "app/forwarding/processtelemetry.h"

namespace App {

namespace {

    auto withLogMetrics(std::vector<Metrics::CallbackMetric> callbackMetrics, const EventLog::EventLog& log)
        -> std::vector<Metrics::CallbackMetric>
    {
        callbackMetrics.push_back(
            { "log_dropped_total", Metrics::CallbackMetric::Type::Counter, [&log] { return log.dropped(); } });
        callbackMetrics.push_back(
            { "log_suppressed_total", Metrics::CallbackMetric::Type::Counter, [&log] { return log.suppressed(); } });
        return callbackMetrics;
    }

} // namespace

ProcessTelemetry::ProcessTelemetry(
    const TelemetrySettings& settings, const Ports::Clock& clock, std::vector<Metrics::CallbackMetric> callbackMetrics)
    : m_causalClock(clock)
    , m_ring(settings.ringCapacity)
    , m_log(settings.logLevel, EventLog::defaultQueueLimit, settings.requestLinesPerSecond)
    , m_recorder(settings.process, { clock, m_causalClock }, { &m_ring, &m_log })
    , m_metrics(withLogMetrics(std::move(callbackMetrics), m_log))
    , m_admin({ m_ring, m_log, [this] { return m_metrics.text(); } })
{
}

} // namespace App
