#pragma once

#include "httpserver/httpserver.h"
#include "ports/scheduler.h"

#include <map>
#include <mutex>

namespace PlatformTest {

/// Stand-in for an upstream. Takes a fixed time for each request, reports its id and load in the response, and counts
/// the runs of each request.
class UpstreamStandIn : public HttpServer::HttpHandler {
public:
    UpstreamStandIn(Ports::Scheduler& scheduler, std::string id, Core::Millis serviceTime);

    /// While set, refuses every request without running it.
    auto setRefusing(bool isRefusing) -> void;
    /// While set, says in each answer that it is leaving.
    auto setLeaving(bool isLeaving) -> void;
    /// Sets the value of Retry-After in refusals; empty for none.
    auto setRetryAfter(const std::string& seconds) -> void;
    /// Sets the status of the answers to runs, which need not be one that HTTP defines.
    auto setStatus(unsigned status) -> void;
    /// Takes the given time for every third run from now on.
    auto setSlowRuns(Core::Millis time) -> void;
    /// Number of requests that were refused.
    [[nodiscard]] auto refusals() -> int;
    /// Number of runs of each request id.
    [[nodiscard]] auto runs() -> std::map<std::string, int>;

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    auto malformedResponse(boost::beast::http::status status, const std::string& detail)
        -> HttpServer::HttpResponse override;

private:
    Ports::Scheduler& m_scheduler;
    const std::string m_id;
    const Core::Millis m_serviceTime;
    std::mutex m_mutex;
    bool m_isRefusing = false;
    bool m_isLeaving = false;
    std::string m_retryAfter;
    unsigned m_status = 200;
    Core::Millis m_slowTime { 0 };
    int m_started = 0;
    int m_refusals = 0;
    int m_running = 0;
    std::map<std::string, int> m_runs;
};

} // namespace PlatformTest
