#pragma once

#include "forwarding/forwarder.h"
#include "httpforward/headernames.h"
#include "httpserver/httpserver.h"

namespace HttpForward {

/// Takes callers' requests, lets the forwarder serve them, and writes the answers.
class ForwardFront : public HttpServer::HttpHandler {
public:
    ForwardFront(Forwarding::Forwarder& forwarder, HeaderNames names);

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    auto handleFor(const std::shared_ptr<HttpServer::ClientPresence>& client, HttpServer::HttpRequest request,
        Respond respond) -> void override;
    auto malformed(boost::beast::http::status status, const std::string& detail) -> HttpServer::HttpResponse override;
    auto failed() -> HttpServer::HttpResponse override;
    auto overloaded() -> HttpServer::HttpResponse override;

private:
    [[nodiscard]] auto decode(HttpServer::HttpRequest request) const -> Forwarding::ForwardRequest;

    Forwarding::Forwarder& m_forwarder;
    const HeaderNames m_names;
};

} // namespace HttpForward
