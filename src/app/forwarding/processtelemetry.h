#pragma once

#include "adminfront/adminfront.h"
#include "eventlog/eventlog.h"
#include "metrics/metrics.h"
#include "timeline/eventring.h"
#include "timeline/hybridlogicalclock.h"
#include "timeline/recorder.h"

namespace App {

/// Configures the log and the timeline of a process.
struct TelemetrySettings {
    Core::EntryVmId process;
    Ports::LogLevel logLevel = Ports::LogLevel::Info;
    /// Number of events that the process keeps for the timeline.
    std::size_t ringCapacity = 4096;
    std::uint32_t requestLinesPerSecond = EventLog::defaultRequestLinesPerSecond;
};

/// Owns the log, timeline and metrics of one process, and the HTTP paths that serve them.
class ProcessTelemetry {
public:
    ProcessTelemetry(const TelemetrySettings& settings, const Ports::Clock& clock,
        std::vector<Metrics::CallbackMetric> callbackMetrics);

    auto events() -> Ports::EventSink& { return m_recorder; }
    auto metrics() -> Ports::MetricSink& { return m_metrics; }
    auto causalClock() -> Ports::CausalClock& { return m_causalClock; }
    /// Returns the handler of the paths for operators.
    auto admin() -> HttpServer::HttpHandler& { return m_admin; }

private:
    Timeline::HybridLogicalClock m_causalClock;
    Timeline::EventRing m_ring;
    EventLog::EventLog m_log;
    Timeline::Recorder m_recorder;
    Metrics::Metrics m_metrics;
    AdminFront::AdminFront m_admin;
};

} // namespace App
