#pragma once

#include "app/forwarding/hostobservation.h"
#include "app/servesettings.h"
#include "configuration/steeringconfiguration.h"
#include "httpserver/pathrouter.h"
#include "peerstream/traffic.h"

namespace App {

/// Owns what lets operators see what the process does: time line, log, metrics, and the paths that serve them.
class Observation {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        const Configuration::ConfigurationSource& configuration;
        const PeerStream::Traffic& peerTraffic;
    };

    Observation(const ServeSettings& settings, Collaborators collaborators);

    auto events() -> Ports::EventSink& { return m_host.events(); }
    auto metrics() -> Ports::MetricSink& { return m_host.metrics(); }
    auto causalClock() -> Ports::CausalClock& { return m_host.causalClock(); }
    /// Handler of the paths alone, for an address of their own.
    auto admin() -> HttpServer::HttpHandler& { return m_host.admin(); }
    auto addPaths(HttpServer::PathRouter& paths) -> void;

private:
    HostObservation m_host;
};

} // namespace App
