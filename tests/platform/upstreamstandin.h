#pragma once

#include "httpserver/httpserver.h"
#include "ports/scheduler.h"

#include <map>
#include <mutex>

namespace PlatformTest {

/// Stand-in for an upstream: works for a while on each request, names itself and its load, and counts its runs.
class UpstreamStandIn : public HttpServer::HttpHandler {
public:
    UpstreamStandIn(Ports::Scheduler& scheduler, std::string id, Core::Millis work);

    /// Refuses each request, unrun.
    auto setRefusing(bool isRefusing) -> void;
    /// Runs by request id.
    [[nodiscard]] auto runs() -> std::map<std::string, int>;

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    auto malformed(boost::beast::http::status status, const std::string& detail) -> HttpServer::HttpResponse override;

private:
    Ports::Scheduler& m_scheduler;
    const std::string m_id;
    const Core::Millis m_work;
    std::mutex m_mutex;
    bool m_isRefusing = false;
    int m_running = 0;
    std::map<std::string, int> m_runs;
};

} // namespace PlatformTest
