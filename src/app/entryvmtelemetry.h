#pragma once

#include "app/forwarding/processtelemetry.h"
#include "app/servesettings.h"
#include "configuration/steeringconfiguration.h"
#include "httpserver/pathrouter.h"
#include "peerstream/trafficcounters.h"

namespace App {

/// Owns the timeline, log and metrics of an entry VM process, and the HTTP paths that serve them to operators.
class EntryVmTelemetry {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        const Configuration::ConfigurationSource& configuration;
        const PeerStream::TrafficCounters& peerTraffic;
    };

    EntryVmTelemetry(const ServeSettings& settings, Dependencies dependencies);

    auto events() -> Ports::EventSink& { return m_telemetry.events(); }
    auto metrics() -> Ports::MetricSink& { return m_telemetry.metrics(); }
    auto causalClock() -> Ports::CausalClock& { return m_telemetry.causalClock(); }
    /// Returns the handler that serves only these paths, for a separate address.
    auto admin() -> HttpServer::HttpHandler& { return m_telemetry.admin(); }
    auto addPaths(HttpServer::PathRouter& paths) -> void;

private:
    ProcessTelemetry m_telemetry;
};

} // namespace App
