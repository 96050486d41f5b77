#pragma once

#include "httpserver/httpserver.h"
#include "ports/clock.h"
#include "ports/randomsource.h"
#include "ports/requesthandler.h"

namespace HttpFront {

/// Decodes callers' HTTP requests and encodes the replies. The format is described in docs/INTERFACES.md.
class HttpFront : public HttpServer::HttpHandler {
public:
    HttpFront(Ports::RequestHandler& handler, const Ports::Clock& clock, Ports::RandomSource& random);

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    auto malformedResponse(boost::beast::http::status status, const std::string& detail)
        -> HttpServer::HttpResponse override;
    auto failureResponse() -> HttpServer::HttpResponse override;
    auto overloadedResponse() -> HttpServer::HttpResponse override;

private:
    auto handleLookup(const HttpServer::HttpRequest& request, const Respond& respond) -> void;
    auto handleService(HttpServer::HttpRequest request, const Respond& respond) -> void;
    auto decode(HttpServer::HttpRequest request) -> tl::expected<Core::ServiceRequest, Core::Refusal>;
    auto generateRequestId() -> Core::RequestId;

    Ports::RequestHandler& m_handler;
    const Ports::Clock& m_clock;
    Ports::RandomSource& m_random;
};

} // namespace HttpFront
