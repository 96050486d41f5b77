#include "app/observation.h"

namespace App {

Observation::Observation(const ServeSettings& settings, Collaborators collaborators)
    : m_causalClock(collaborators.clock)
    , m_ring(settings.timelineCapacity)
    , m_log(Ports::parseLogLevel(settings.logLevel).value_or(Ports::LogLevel::Info))
    , m_recorder(settings.id, { collaborators.clock, m_causalClock }, { &m_ring, &m_log })
    , m_metrics({ { "configuration_version", Metrics::Reading::Type::Gauge,
                      [collaborators] { return collaborators.configuration.current()->version.value(); } },
          { "log_dropped_total", Metrics::Reading::Type::Counter, [this] { return m_log.dropped(); } } })
    , m_admin({ m_ring, m_log, [this] { return m_metrics.text(); } })
{
}

auto Observation::addPaths(HttpServer::PathRouter& paths) -> void
{
    for (const auto* path : { AdminFront::timelinePath, AdminFront::metricsPath, AdminFront::adminPath })
        paths.add(path, m_admin);
}

} // namespace App
