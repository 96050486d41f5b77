#pragma once

#include "httpserver/httpserver.h"

#include <string>
#include <vector>

namespace HttpServer {

/// Dispatches each request to the handler of the longest matching path, or to the fallback if no path matches.
class PathRouter : public HttpHandler {
public:
    explicit PathRouter(HttpHandler& fallback);

    /// Routes the path and everything below it to the handler. Must not be called after the server has started.
    auto add(std::string path, HttpHandler& handler) -> void;

    auto handle(HttpRequest request, Respond respond) -> void override;
    auto malformedResponse(boost::beast::http::status status, const std::string& detail) -> HttpResponse override;
    auto failureResponse() -> HttpResponse override;
    auto overloadedResponse() -> HttpResponse override;

private:
    struct Route {
        std::string path;
        HttpHandler* handler = nullptr;
    };

    HttpHandler& m_fallback;
    std::vector<Route> m_routes;
};

} // namespace HttpServer
