#include "app/forwarding/hostobservation.h"

namespace App {

namespace {

    auto withLogReadings(std::vector<Metrics::Reading> readings, const EventLog::EventLog& log)
        -> std::vector<Metrics::Reading>
    {
        readings.push_back({ "log_dropped_total", Metrics::Reading::Type::Counter, [&log] { return log.dropped(); } });
        readings.push_back(
            { "log_suppressed_total", Metrics::Reading::Type::Counter, [&log] { return log.suppressed(); } });
        return readings;
    }

} // namespace

ProcessTelemetry::ProcessTelemetry(
    const TelemetrySettings& settings, const Ports::Clock& clock, std::vector<Metrics::Reading> readings)
    : m_causalClock(clock)
    , m_ring(settings.ringCapacity)
    , m_log(settings.logLevel, EventLog::defaultQueueLimit, settings.requestLinesPerSecond)
    , m_recorder(settings.process, { clock, m_causalClock }, { &m_ring, &m_log })
    , m_metrics(withLogReadings(std::move(readings), m_log))
    , m_admin({ m_ring, m_log, [this] { return m_metrics.text(); } })
{
}

} // namespace App
