#pragma once

#include "httpserver/httpserver.h"

#include <string>
#include <vector>

namespace HttpServer {

/// Passes each request to the handler of the longest matching path, and all others to a fallback.
class PathRouter : public HttpHandler {
public:
    explicit PathRouter(HttpHandler& fallback);

    /// Adds the path itself and everything below it. All paths are added before the server starts.
    auto add(std::string path, HttpHandler& handler) -> void;

    auto handle(HttpRequest request, Respond respond) -> void override;
    auto malformed(boost::beast::http::status status, const std::string& detail) -> HttpResponse override;
    auto failed() -> HttpResponse override;
    auto overloaded() -> HttpResponse override;

private:
    struct Route {
        std::string path;
        HttpHandler* handler = nullptr;
    };

    HttpHandler& m_fallback;
    std::vector<Route> m_routes;
};

} // namespace HttpServer
