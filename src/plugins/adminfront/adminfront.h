#pragma once

#include "httpserver/httpserver.h"
#include "ports/logcontrol.h"
#include "timeline/eventring.h"

#include <functional>

namespace AdminFront {

/// Paths that this handler answers.
inline constexpr auto timelinePath = "/v1/timeline";
inline constexpr auto metricsPath = "/v1/metrics";
inline constexpr auto adminPath = "/v1/admin";

/// Serves operators: the time line of this process, its metrics, and the level of its log.
class AdminFront : public HttpServer::HttpHandler {
public:
    struct Collaborators {
        Timeline::EventRing& ring;
        Ports::LogControl& log;
        /// Metrics in the Prometheus text format.
        std::function<std::string()> metrics;
    };

    explicit AdminFront(Collaborators collaborators);

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    auto malformed(boost::beast::http::status status, const std::string& detail) -> HttpServer::HttpResponse override;

private:
    auto answer(const HttpServer::HttpRequest& request) -> Core::Result<HttpServer::HttpResponse>;
    auto timeline(const HttpServer::HttpRequest& request) -> Core::Result<HttpServer::HttpResponse>;
    auto logLevel(const HttpServer::HttpRequest& request) -> Core::Result<HttpServer::HttpResponse>;

    Collaborators m_collaborators;
};

} // namespace AdminFront
