#include "httpstatus/statushandler.h"

#include "httpstatus/statuscodec.h"

namespace HttpStatus {

namespace http = boost::beast::http;

namespace {

    constexpr int httpVersion = 11;

    auto jsonResponse(std::string body) -> HttpServer::HttpResponse
    {
        HttpServer::HttpResponse response { http::status::ok, httpVersion };
        response.set(http::field::content_type, "application/json");
        response.body() = std::move(body);
        return response;
    }

} // namespace

StatusHandler::StatusHandler(const Replication::StatusSource& source, HttpServer::HttpHandler& next)
    : m_source(source)
    , m_next(next)
{
}

auto StatusHandler::handle(HttpServer::HttpRequest request, Respond respond) -> void
{
    const std::string_view target(request.target().data(), request.target().size());
    const auto path = target.substr(0, target.find('?'));
    if (request.method() == http::verb::get && path == statusPath) {
        respond(jsonResponse(encodeStatus(m_source.configurationStatus())));
    } else if (request.method() == http::verb::get && path == documentPath) {
        const auto document = m_source.documentInForce();
        auto response = jsonResponse(document.text);
        response.set(http::field::etag, std::to_string(document.version.value()));
        if (document.version.value() == 0)
            response.result(http::status::not_found);
        respond(std::move(response));
    } else {
        m_next.handle(std::move(request), std::move(respond));
    }
}

auto StatusHandler::malformedResponse(http::status status, const std::string& detail) -> HttpServer::HttpResponse
{
    return m_next.malformedResponse(status, detail);
}

} // namespace HttpStatus
