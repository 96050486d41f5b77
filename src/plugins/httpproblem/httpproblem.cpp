#include "httpproblem/httpproblem.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace HttpProblem {

namespace {

    namespace http = boost::beast::http;
    using nlohmann::json;

    constexpr int httpVersion = 11;

    auto statusFor(Core::ErrorKind kind) -> http::status
    {
        switch (kind) {
        case Core::ErrorKind::NotFound:
            return http::status::not_found;
        case Core::ErrorKind::InvalidArgument:
        case Core::ErrorKind::InvalidDocument:
        case Core::ErrorKind::InvalidMessage:
            return http::status::bad_request;
        case Core::ErrorKind::Conflict:
            return http::status::conflict;
        case Core::ErrorKind::TooLarge:
            return http::status::payload_too_large;
        case Core::ErrorKind::Internal:
            return http::status::internal_server_error;
        default:
            return http::status::service_unavailable;
        }
    }

} // namespace

auto makeResponse(http::status status, const std::string& contentType, std::string body) -> HttpServer::HttpResponse
{
    HttpServer::HttpResponse response { status, httpVersion };
    if (!contentType.empty())
        response.set(http::field::content_type, sanitizeHeaderValue(contentType));
    response.body() = std::move(body);
    return response;
}

auto encodeError(const Core::Error& error) -> HttpServer::HttpResponse
{
    const json problem { { "type", "urn:dragonflywinch:error:" + toString(error.kind) },
        { "title", toString(error.kind) }, { "detail", error.message }, { "remedy", error.remedy } };
    return makeResponse(statusFor(error.kind), "application/problem+json",
        problem.dump(-1, ' ', false, json::error_handler_t::replace));
}

auto sanitizeHeaderValue(std::string text) -> std::string
{
    constexpr char firstPrintable = ' ';
    constexpr char deleteCharacter = '\x7f';
    std::replace_if(
        text.begin(), text.end(),
        [](char character) { return (character >= 0 && character < firstPrintable) || character == deleteCharacter; },
        '?');
    return text;
}

} // namespace HttpProblem
