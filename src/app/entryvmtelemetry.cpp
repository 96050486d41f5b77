#include "app/entryvmtelemetry.h"

namespace App {

namespace {

    auto telemetrySettings(const ServeSettings& settings) -> TelemetrySettings
    {
        TelemetrySettings result;
        result.process = settings.id;
        result.logLevel = Ports::parseLogLevel(settings.logLevel).value_or(Ports::LogLevel::Info);
        result.ringCapacity = settings.timelineCapacity;
        // There is no rate limit: the log level alone decides whether requests are logged.
        result.requestLinesPerSecond = std::numeric_limits<std::uint32_t>::max();
        return result;
    }

    auto callbackMetrics(const EntryVmTelemetry::Dependencies& dependencies) -> std::vector<Metrics::CallbackMetric>
    {
        using Type = Metrics::CallbackMetric::Type;
        const auto& traffic = dependencies.peerTraffic;
        return { { "configuration_version", Type::Gauge,
                     [dependencies] { return dependencies.configuration.current()->version.value(); } },
            { "peer_sent_bytes_total", Type::Counter, [&traffic] { return traffic.sentBytes.load(); } },
            { "peer_received_bytes_total", Type::Counter, [&traffic] { return traffic.receivedBytes.load(); } },
            { "peer_calls_total", Type::Counter, [&traffic] { return traffic.calls.load(); } } };
    }

} // namespace

EntryVmTelemetry::EntryVmTelemetry(const ServeSettings& settings, Dependencies dependencies)
    : m_telemetry(telemetrySettings(settings), dependencies.clock, callbackMetrics(dependencies))
{
}

auto EntryVmTelemetry::addPaths(HttpServer::PathRouter& paths) -> void
{
    for (const auto* path : { AdminFront::timelinePath, AdminFront::metricsPath, AdminFront::adminPath })
        paths.add(path, admin());
}

} // namespace App
