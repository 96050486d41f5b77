#include "httpfront/replyencoding.h"

#include "httpproblem/httpproblem.h"

#include <nlohmann/json.hpp>

namespace HttpFront {

namespace {

    namespace http = boost::beast::http;
    using nlohmann::json;

    using HttpProblem::encodeError;
    using HttpProblem::makeResponse;
    using HttpProblem::sanitizeHeaderValue;

    /// Lower status codes are interim responses.
    constexpr int lowestFinalStatus = 200;
    constexpr int highestStatus = 599;

    auto dump(const json& value) -> std::string { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

    auto statusFor(const Core::Refusal& refusal) -> http::status
    {
        using Core::RefusalReason;
        switch (refusal.reason) {
        case RefusalReason::InvalidRequest:
        case RefusalReason::KeyRequired:
        case RefusalReason::KeyInvalid:
            return http::status::bad_request;
        case RefusalReason::UnknownApiKey:
            return http::status::unauthorized;
        case RefusalReason::QuotaExceeded:
            return http::status::too_many_requests;
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
        case RefusalReason::InternalError:
            return http::status::internal_server_error;
        case RefusalReason::UpstreamFailed:
        case RefusalReason::UpstreamAnswerInvalid:
        case RefusalReason::HomeUnreachable:
        case RefusalReason::CallerDisconnected:
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

    auto invalidStatusRefusal(int status) -> Core::Refusal
    {
        return { Core::RunOutcome::Unknown, Core::RefusalReason::UpstreamAnswerInvalid,
            "the upstream answered with the status " + std::to_string(status) + ", which is not a final HTTP status",
            "retry with the same idempotency key; operators check the upstream", {} };
    }

} // namespace

auto encodeReply(const Core::RequestId& id, Core::Reply reply) -> HttpServer::HttpResponse
{
    if (const auto* refusal = std::get_if<Core::Refusal>(&reply))
        return encodeRefusal(id, *refusal);
    auto& answer = std::get<Core::Answer>(reply);
    if (answer.status < lowestFinalStatus || answer.status > highestStatus)
        return encodeRefusal(id, invalidStatusRefusal(answer.status));
    auto response = makeResponse(static_cast<http::status>(answer.status), answer.contentType, std::move(answer.body));
    response.set("X-Request-Id", sanitizeHeaderValue(answer.id.value()));
    response.set("X-Upstream", sanitizeHeaderValue(answer.upstream.value()));
    return response;
}

auto encodeRefusal(const Core::RequestId& id, const Core::Refusal& refusal) -> HttpServer::HttpResponse
{
    const json problem { { "type", "urn:dragonflywinch:refusal:" + toString(refusal.reason) },
        { "title", toString(refusal.reason) }, { "outcome", toString(refusal.outcome) }, { "detail", refusal.message },
        { "remedy", refusal.remedy }, { "keyPrefix", refusal.keyPrefix } };
    auto response = makeResponse(statusFor(refusal), "application/problem+json", dump(problem));
    if (!id.value().empty())
        response.set("X-Request-Id", sanitizeHeaderValue(id.value()));
    response.set("X-Outcome", toString(refusal.outcome));
    return response;
}

auto encodeLookup(const Core::Result<Ports::LookupAnswer>& answer) -> HttpServer::HttpResponse
{
    if (!answer)
        return encodeError(answer.error());
    auto response = makeResponse(http::status::ok, "application/json", dump(lookupJson(*answer)));
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(answer->lifetime).count();
    response.set(http::field::cache_control, "max-age=" + std::to_string(seconds));
    return response;
}

} // namespace HttpFront
