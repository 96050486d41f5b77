#pragma once

#include "core/error.h"
#include "httpserver/httpserver.h"

namespace HttpProblem {

/// Creates a response. If contentType is empty, the response has no Content-Type header.
auto makeResponse(boost::beast::http::status status, const std::string& contentType, std::string body)
    -> HttpServer::HttpResponse;

/// Encodes the error as application/problem+json (RFC 9457) with the status for its kind. Bytes that are not valid
/// UTF-8 are replaced.
auto encodeError(const Core::Error& error) -> HttpServer::HttpResponse;

/// Returns the text with control characters replaced, so that it cannot inject header lines.
auto sanitizeHeaderValue(std::string text) -> std::string;

} // namespace HttpProblem
