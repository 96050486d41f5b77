#pragma once

#include "core/error.h"
#include "httpserver/httpserver.h"

namespace HttpProblem {

/// Response with a body; an empty content type sends none.
auto makeResponse(boost::beast::http::status status, const std::string& contentType, std::string body)
    -> HttpServer::HttpResponse;

/// The error as application/problem+json (RFC 9457) with the status that fits its kind. Bytes that are not UTF-8 are
/// replaced.
auto encodeError(const Core::Error& error) -> HttpServer::HttpResponse;

/// The text with control characters replaced, so that it cannot end a header line.
auto headerSafe(std::string text) -> std::string;

} // namespace HttpProblem
