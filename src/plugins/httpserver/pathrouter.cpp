#include "httpserver/pathrouter.h"

namespace HttpServer {

namespace {

    auto matchesRoute(std::string_view path, std::string_view route) -> bool
    {
        return path.starts_with(route) && (path.size() == route.size() || path[route.size()] == '/');
    }

} // namespace

PathRouter::PathRouter(HttpHandler& fallback)
    : m_fallback(fallback)
{
}

auto PathRouter::add(std::string path, HttpHandler& handler) -> void
{
    m_routes.push_back({ std::move(path), &handler });
}

auto PathRouter::handle(HttpRequest request, Respond respond) -> void
{
    const std::string_view target(request.target().data(), request.target().size());
    const auto path = target.substr(0, target.find('?'));
    const Route* longestMatch = nullptr;
    for (const auto& route : m_routes) {
        if (matchesRoute(path, route.path)
            && (longestMatch == nullptr || route.path.size() > longestMatch->path.size()))
            longestMatch = &route;
    }
    auto& handler = longestMatch == nullptr ? m_fallback : *longestMatch->handler;
    handler.handle(std::move(request), std::move(respond));
}

auto PathRouter::malformedResponse(boost::beast::http::status status, const std::string& detail) -> HttpResponse
{
    return m_fallback.malformedResponse(status, detail);
}

auto PathRouter::failureResponse() -> HttpResponse { return m_fallback.failureResponse(); }

auto PathRouter::overloadedResponse() -> HttpResponse { return m_fallback.overloadedResponse(); }

} // namespace HttpServer
