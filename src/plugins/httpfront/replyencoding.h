#pragma once

#include "httpserver/httpserver.h"
#include "ports/requesthandler.h"

namespace HttpFront {

/// Encodes the HTTP response to a service request.
auto encodeReply(const Core::RequestId& id, Core::Reply reply) -> HttpServer::HttpResponse;
/// Encodes a refusal as problem details (RFC 9457).
auto encodeRefusal(const Core::RequestId& id, const Core::Refusal& refusal) -> HttpServer::HttpResponse;
auto encodeLookup(const Core::Result<Ports::LookupAnswer>& answer) -> HttpServer::HttpResponse;

} // namespace HttpFront
