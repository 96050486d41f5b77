#pragma once

#include "forwarding/forwarder.h"
#include "httpforward/headernames.h"
#include "httpserver/httpserver.h"

namespace HttpForward {

/// Decodes callers' HTTP requests, passes them to the forwarder and encodes its replies.
class ForwardFront : public HttpServer::HttpHandler {
public:
    ForwardFront(Forwarding::Forwarder& forwarder, HeaderNames names);

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    auto handleCancellable(const std::shared_ptr<HttpServer::DisconnectNotifier>& client,
        HttpServer::HttpRequest request, Respond respond) -> void override;
    /// Returns true for requests that may run more than once.
    [[nodiscard]] auto mayOverlap(const HttpServer::HttpRequest& request) const -> bool override;
    auto malformedResponse(boost::beast::http::status status, const std::string& detail)
        -> HttpServer::HttpResponse override;
    auto failureResponse() -> HttpServer::HttpResponse override;
    auto overloadedResponse() -> HttpServer::HttpResponse override;

private:
    [[nodiscard]] auto decode(HttpServer::HttpRequest request) const -> Forwarding::ForwardRequest;

    Forwarding::Forwarder& m_forwarder;
    const HeaderNames m_names;
};

} // namespace HttpForward
