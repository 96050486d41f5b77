#include "standins/httphelpers.h"

#include <boost/url/parse.hpp>

namespace StandIns {

auto textResponse(boost::beast::http::status status, std::string body) -> HttpServer::HttpResponse
{
    constexpr int httpVersion = 11;
    HttpServer::HttpResponse response { status, httpVersion };
    response.set(boost::beast::http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

auto queryNumber(std::string_view target, const std::string& name, std::int64_t fallback) -> std::int64_t
{
    const auto url = boost::urls::parse_origin_form(target);
    if (!url)
        return fallback;
    const auto parameters = url->params();
    const auto found = parameters.find(name);
    return found == parameters.end() ? fallback : std::stoll((*found).value);
}

auto pathOf(const HttpServer::HttpRequest& request) -> std::string
{
    const std::string target(request.target());
    return target.substr(0, target.find('?'));
}

} // namespace StandIns
