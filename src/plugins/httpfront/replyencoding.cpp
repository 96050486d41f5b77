#include "httpfront/replyencoding.h"

#include <nlohmann/json.hpp>

namespace HttpFront {

namespace {

    namespace http = boost::beast::http;
    using nlohmann::json;

    constexpr int httpVersion = 11;

    auto statusFor(const Core::Refusal& refusal) -> http::status
    {
        using Core::RefusalReason;
        switch (refusal.reason) {
        case RefusalReason::InvalidRequest:
        case RefusalReason::KeyRequired:
        case RefusalReason::KeyInvalid:
            return http::status::bad_request;
        case RefusalReason::UnknownService:
            return http::status::not_found;
        case RefusalReason::RequestTooLarge:
            return http::status::payload_too_large;
        case RefusalReason::EpochClosed:
            return http::status::conflict;
        case RefusalReason::RequestQuarantined:
            return http::status::unprocessable_entity;
        case RefusalReason::DeadlinePassed:
        case RefusalReason::UpstreamTimeout:
            return http::status::gateway_timeout;
        case RefusalReason::UpstreamFailed:
        case RefusalReason::UpstreamAnswerInvalid:
        case RefusalReason::HomeUnreachable:
            return http::status::bad_gateway;
        case RefusalReason::DeadlineUnreachable:
        case RefusalReason::Overloaded:
        case RefusalReason::NoUpstream:
        case RefusalReason::LedgerFull:
        case RefusalReason::BackupUnavailable:
        case RefusalReason::ShuttingDown:
        case RefusalReason::NotConfigured:
            break;
        }
        return http::status::service_unavailable;
    }

    auto statusFor(Core::ErrorKind kind) -> http::status
    {
        switch (kind) {
        case Core::ErrorKind::NotFound:
            return http::status::not_found;
        case Core::ErrorKind::InvalidArgument:
            return http::status::bad_request;
        default:
            return http::status::service_unavailable;
        }
    }

    auto makeResponse(http::status status, const std::string& contentType, std::string body) -> HttpServer::HttpResponse
    {
        HttpServer::HttpResponse response { status, httpVersion };
        response.set(http::field::content_type, contentType);
        response.body() = std::move(body);
        return response;
    }

    auto lookupJson(const Ports::LookupAnswer& answer) -> json
    {
        auto targets = json::array();
        for (const auto& target : answer.targets) {
            targets.push_back({ { "vm", target.vm.value() }, { "address", target.address.value() },
                { "failureDomain", target.failureDomain.value() }, { "weight", target.weight.value() },
                { "keyPrefix", target.keyPrefix } });
        }
        return { { "targets", targets }, { "lifetimeMs", answer.lifetime.count() } };
    }

} // namespace

auto encodeReply(const Core::RequestId& id, Core::Reply reply) -> HttpServer::HttpResponse
{
    if (const auto* refusal = std::get_if<Core::Refusal>(&reply))
        return encodeRefusal(id, *refusal);
    auto& answer = std::get<Core::Answer>(reply);
    auto response = makeResponse(static_cast<http::status>(answer.status), answer.contentType, std::move(answer.body));
    response.set("X-Request-Id", answer.id.value());
    response.set("X-Upstream", answer.upstream.value());
    return response;
}

auto encodeRefusal(const Core::RequestId& id, const Core::Refusal& refusal) -> HttpServer::HttpResponse
{
    const json problem { { "type", "urn:dragonflywinch:refusal:" + toString(refusal.reason) },
        { "title", toString(refusal.reason) }, { "outcome", toString(refusal.outcome) }, { "detail", refusal.message },
        { "remedy", refusal.remedy }, { "keyPrefix", refusal.keyPrefix } };
    auto response = makeResponse(statusFor(refusal), "application/problem+json", problem.dump());
    response.set("X-Request-Id", id.value());
    response.set("X-Outcome", toString(refusal.outcome));
    return response;
}

auto encodeLookup(const Core::Result<Ports::LookupAnswer>& answer) -> HttpServer::HttpResponse
{
    if (!answer)
        return encodeError(answer.error());
    auto response = makeResponse(http::status::ok, "application/json", lookupJson(*answer).dump());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(answer->lifetime).count();
    response.set(http::field::cache_control, "max-age=" + std::to_string(seconds));
    return response;
}

auto encodeError(const Core::Error& error) -> HttpServer::HttpResponse
{
    const json problem { { "type", "urn:dragonflywinch:error:" + toString(error.kind) },
        { "title", toString(error.kind) }, { "detail", error.message }, { "remedy", error.remedy } };
    return makeResponse(statusFor(error.kind), "application/problem+json", problem.dump());
}

} // namespace HttpFront
