#pragma once

#include "adminfront/adminfront.h"
#include "app/servesettings.h"
#include "configuration/steeringconfiguration.h"
#include "eventlog/eventlog.h"
#include "httpserver/pathrouter.h"
#include "metrics/metrics.h"
#include "peerstream/traffic.h"
#include "timeline/eventring.h"
#include "timeline/recorder.h"
#include "timeline/timelineclock.h"

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

    auto events() -> Ports::EventSink& { return m_recorder; }
    auto metrics() -> Ports::MetricSink& { return m_metrics; }
    auto causalClock() -> Ports::CausalClock& { return m_causalClock; }
    /// Handler of the paths alone, for an address of their own.
    auto admin() -> HttpServer::HttpHandler& { return m_admin; }
    auto addPaths(HttpServer::PathRouter& paths) -> void;

private:
    auto readings(Collaborators collaborators) -> std::vector<Metrics::Reading>;

    Timeline::TimelineClock m_causalClock;
    Timeline::EventRing m_ring;
    EventLog::EventLog m_log;
    Timeline::Recorder m_recorder;
    Metrics::Metrics m_metrics;
    AdminFront::AdminFront m_admin;
};

} // namespace App
