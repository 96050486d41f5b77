#include "app/observation.h"

namespace App {

namespace {

    auto observationSettings(const ServeSettings& settings) -> ObservationSettings
    {
        ObservationSettings result;
        result.process = settings.id;
        result.logLevel = Ports::parseLogLevel(settings.logLevel).value_or(Ports::LogLevel::Info);
        result.ringCapacity = settings.timelineCapacity;
        // The level decides whether requests are logged at all.
        result.requestLinesPerSecond = std::numeric_limits<std::uint32_t>::max();
        return result;
    }

    auto readings(const Observation::Collaborators& collaborators) -> std::vector<Metrics::Reading>
    {
        using Type = Metrics::Reading::Type;
        const auto& traffic = collaborators.peerTraffic;
        return { { "configuration_version", Type::Gauge,
                     [collaborators] { return collaborators.configuration.current()->version.value(); } },
            { "peer_sent_bytes_total", Type::Counter, [&traffic] { return traffic.sentBytes.load(); } },
            { "peer_received_bytes_total", Type::Counter, [&traffic] { return traffic.receivedBytes.load(); } },
            { "peer_calls_total", Type::Counter, [&traffic] { return traffic.calls.load(); } } };
    }

} // namespace

Observation::Observation(const ServeSettings& settings, Collaborators collaborators)
    : m_host(observationSettings(settings), collaborators.clock, readings(collaborators))
{
}

auto Observation::addPaths(HttpServer::PathRouter& paths) -> void
{
    for (const auto* path : { AdminFront::timelinePath, AdminFront::metricsPath, AdminFront::adminPath })
        paths.add(path, admin());
}

} // namespace App
