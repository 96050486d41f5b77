#include "adminfront/adminfront.h"

#include "adminfront/timelinequery.h"
#include "httpproblem/httpproblem.h"
#include "timelinecodec/timelinecodec.h"

#include <nlohmann/json.hpp>

namespace AdminFront {

namespace {

    namespace http = boost::beast::http;
    using HttpProblem::makeResponse;

    constexpr std::string_view logLevelPath = "/v1/admin/log-level";

    auto methodNotAllowed(const std::string& methods) -> tl::unexpected<Core::Error>
    {
        return Core::fail(Core::ErrorKind::InvalidArgument, "the path does not support this method", "use " + methods);
    }

    auto isReadMethod(const HttpServer::HttpRequest& request) -> bool
    {
        return request.method() == http::verb::get || request.method() == http::verb::head;
    }

} // namespace

AdminFront::AdminFront(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

auto AdminFront::handle(HttpServer::HttpRequest request, Respond respond) -> void
{
    auto response = route(request);
    respond(response ? std::move(*response) : HttpProblem::encodeError(response.error()));
}

auto AdminFront::malformedResponse(http::status status, const std::string& detail) -> HttpServer::HttpResponse
{
    auto response = HttpProblem::encodeError(
        { Core::ErrorKind::InvalidArgument, "the HTTP request cannot be parsed: " + detail, "send a valid request" });
    response.result(status);
    return response;
}

auto AdminFront::route(const HttpServer::HttpRequest& request) -> Core::Result<HttpServer::HttpResponse>
{
    const std::string_view target(request.target().data(), request.target().size());
    const auto path = target.substr(0, target.find('?'));
    if (path == logLevelPath)
        return handleLogLevel(request);
    if (path != timelinePath && path != metricsPath)
        return Core::fail(Core::ErrorKind::NotFound, "nothing is served at this path",
            "use /v1/timeline, /v1/metrics or /v1/admin/log-level");
    if (!isReadMethod(request))
        return methodNotAllowed("GET");
    if (path == timelinePath)
        return handleTimeline(request);
    return makeResponse(http::status::ok, "text/plain; version=0.0.4", m_dependencies.metrics());
}

auto AdminFront::handleTimeline(const HttpServer::HttpRequest& request) -> Core::Result<HttpServer::HttpResponse>
{
    return decodeTimelineQuery({ request.target().data(), request.target().size() })
        .map([this](const Timeline::PageQuery& query) {
            return makeResponse(
                http::status::ok, "application/json", TimelineCodec::encodePage(m_dependencies.ring.read(query)));
        });
}

auto AdminFront::handleLogLevel(const HttpServer::HttpRequest& request) -> Core::Result<HttpServer::HttpResponse>
{
    if (request.method() == http::verb::put) {
        const auto level = Ports::parseLogLevel(request.body());
        if (!level)
            return Core::fail(Core::ErrorKind::InvalidArgument, "unknown log level '" + request.body() + "'",
                "send one of debug, info, warning, error as the body");
        m_dependencies.log.setLevel(*level);
    } else if (!isReadMethod(request)) {
        return methodNotAllowed("GET or PUT");
    }
    const nlohmann::json state { { "level", toString(m_dependencies.log.level()) } };
    return makeResponse(http::status::ok, "application/json", state.dump());
}

} // namespace AdminFront
