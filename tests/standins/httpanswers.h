#pragma once

#include "httpserver/httpserver.h"

namespace StandIns {

auto textResponse(boost::beast::http::status status, std::string body) -> HttpServer::HttpResponse;
/// Value of the query parameter, or the fallback.
auto queryNumber(std::string_view target, const std::string& name, std::int64_t fallback) -> std::int64_t;
/// Target without its query.
auto pathOf(const HttpServer::HttpRequest& request) -> std::string;

} // namespace StandIns
