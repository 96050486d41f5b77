#pragma once

#include "httpserver/httpserver.h"
#include "ports/logcontrol.h"
#include "timeline/eventring.h"

#include <functional>

namespace AdminFront {

/// Paths that this handler serves.
inline constexpr auto timelinePath = "/v1/timeline";
inline constexpr auto metricsPath = "/v1/metrics";
inline constexpr auto adminPath = "/v1/admin";

/// HTTP interface for operators. Serves the timeline and the metrics of this process, and reads and sets its log level.
class AdminFront : public HttpServer::HttpHandler {
public:
    struct Dependencies {
        Timeline::EventRing& ring;
        Ports::LogControl& log;
        /// Returns the metrics in the Prometheus text format.
        std::function<std::string()> metrics;
    };

    explicit AdminFront(Dependencies dependencies);

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    auto malformedResponse(boost::beast::http::status status, const std::string& detail)
        -> HttpServer::HttpResponse override;

private:
    auto route(const HttpServer::HttpRequest& request) -> Core::Result<HttpServer::HttpResponse>;
    auto handleTimeline(const HttpServer::HttpRequest& request) -> Core::Result<HttpServer::HttpResponse>;
    auto handleLogLevel(const HttpServer::HttpRequest& request) -> Core::Result<HttpServer::HttpResponse>;

    Dependencies m_dependencies;
};

} // namespace AdminFront
