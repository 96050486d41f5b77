#pragma once

#include "adminfront/adminfront.h"
#include "eventlog/eventlog.h"
#include "metrics/metrics.h"
#include "timeline/eventring.h"
#include "timeline/recorder.h"
#include "timeline/timelineclock.h"

namespace App {

/// Log, time line and metrics of a forwarding process.
class HostObservation {
public:
    HostObservation(const Core::EntryVmId& id, const Ports::Clock& clock, std::vector<Metrics::Reading> readings);

    auto events() -> Ports::EventSink& { return m_recorder; }
    auto metrics() -> Ports::MetricSink& { return m_metrics; }
    /// Handler of the operators' paths.
    auto admin() -> HttpServer::HttpHandler& { return m_admin; }

private:
    Timeline::TimelineClock m_causalClock;
    Timeline::EventRing m_ring;
    EventLog::EventLog m_log;
    Timeline::Recorder m_recorder;
    Metrics::Metrics m_metrics;
    AdminFront::AdminFront m_admin;
};

} // namespace App
