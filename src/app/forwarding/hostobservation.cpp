#include "app/forwarding/hostobservation.h"

namespace App {

namespace {

    /// Events that the process keeps for the time line.
    constexpr std::size_t ringCapacity = 4096;

    auto withLogReading(std::vector<Metrics::Reading> readings, const EventLog::EventLog& log)
        -> std::vector<Metrics::Reading>
    {
        readings.push_back({ "log_dropped_total", Metrics::Reading::Type::Counter, [&log] { return log.dropped(); } });
        readings.push_back(
            { "log_suppressed_total", Metrics::Reading::Type::Counter, [&log] { return log.suppressed(); } });
        return readings;
    }

} // namespace

HostObservation::HostObservation(
    const Core::EntryVmId& id, const Ports::Clock& clock, std::vector<Metrics::Reading> readings)
    : m_causalClock(clock)
    , m_ring(ringCapacity)
    , m_log(Ports::LogLevel::Info, EventLog::defaultQueueLimit, EventLog::defaultRequestLinesPerSecond)
    , m_recorder(id, { clock, m_causalClock }, { &m_ring, &m_log })
    , m_metrics(withLogReading(std::move(readings), m_log))
    , m_admin({ m_ring, m_log, [this] { return m_metrics.text(); } })
{
}

} // namespace App
