#pragma once

#include "httpserver/httpserver.h"

namespace StandIns {

auto textResponse(boost::beast::http::status status, std::string body) -> HttpServer::HttpResponse;
/// Returns the value of a query parameter, or the fallback if the target does not have it.
auto queryNumber(std::string_view target, const std::string& name, std::int64_t fallback) -> std::int64_t;
/// Returns the request target without its query.
auto pathOf(const HttpServer::HttpRequest& request) -> std::string;

} // namespace StandIns
