#pragma once

#include "httpserver/httpserver.h"
#include "ports/exchangeclient.h"

namespace HttpForward {

/// Caller's request, as passed through the forwarder.
class RequestMessage : public Ports::Message {
public:
    explicit RequestMessage(HttpServer::HttpRequest request)
        : m_request(std::move(request))
    {
    }
    [[nodiscard]] auto request() const -> const HttpServer::HttpRequest& { return m_request; }

private:
    HttpServer::HttpRequest m_request;
};

/// Upstream's answer, as passed through the forwarder.
class AnswerMessage : public Ports::Message {
public:
    explicit AnswerMessage(HttpServer::HttpResponse response)
        : m_response(std::move(response))
    {
    }
    [[nodiscard]] auto response() const -> const HttpServer::HttpResponse& { return m_response; }

private:
    HttpServer::HttpResponse m_response;
};

/// Removes the hop-by-hop headers, including those that the Connection header lists.
auto removeConnectionHeaders(boost::beast::http::fields& fields) -> void;

} // namespace HttpForward
