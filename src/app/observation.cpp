#include "app/observation.h"

namespace App {

Observation::Observation(const ServeSettings& settings, Collaborators collaborators)
    : m_causalClock(collaborators.clock)
    , m_ring(settings.timelineCapacity)
    , m_log(Ports::parseLogLevel(settings.logLevel).value_or(Ports::LogLevel::Info))
    , m_recorder(settings.id, { collaborators.clock, m_causalClock }, { &m_ring, &m_log })
    , m_metrics(readings(collaborators))
    , m_admin({ m_ring, m_log, [this] { return m_metrics.text(); } })
{
}

auto Observation::readings(Collaborators collaborators) -> std::vector<Metrics::Reading>
{
    using Type = Metrics::Reading::Type;
    const auto& traffic = collaborators.peerTraffic;
    return { { "configuration_version", Type::Gauge,
                 [collaborators] { return collaborators.configuration.current()->version.value(); } },
        { "log_dropped_total", Type::Counter, [this] { return m_log.dropped(); } },
        { "peer_sent_bytes_total", Type::Counter, [&traffic] { return traffic.sentBytes.load(); } },
        { "peer_received_bytes_total", Type::Counter, [&traffic] { return traffic.receivedBytes.load(); } },
        { "peer_calls_total", Type::Counter, [&traffic] { return traffic.calls.load(); } } };
}

auto Observation::addPaths(HttpServer::PathRouter& paths) -> void
{
    for (const auto* path : { AdminFront::timelinePath, AdminFront::metricsPath, AdminFront::adminPath })
        paths.add(path, m_admin);
}

} // namespace App
