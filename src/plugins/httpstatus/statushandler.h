#pragma once

#include "httpserver/httpserver.h"
#include "replication/configurationstatus.h"

namespace HttpStatus {

inline constexpr std::string_view statusPath = "/v1/status";
inline constexpr std::string_view documentPath = "/v1/document";

/// Handles GET /v1/status and GET /v1/document, and passes all other requests to the next handler.
class StatusHandler : public HttpServer::HttpHandler {
public:
    StatusHandler(const Replication::StatusSource& source, HttpServer::HttpHandler& next);

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    auto malformedResponse(boost::beast::http::status status, const std::string& detail)
        -> HttpServer::HttpResponse override;

private:
    const Replication::StatusSource& m_source;
    HttpServer::HttpHandler& m_next;
};

} // namespace HttpStatus
