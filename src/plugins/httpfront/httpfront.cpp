#include "httpfront/httpfront.h"

#include "clientblocks/addressparser.h"
#include "core/incarnation.h"
#include "httpfront/replyencoding.h"
#include "httpproblem/httpproblem.h"

#include <algorithm>
#include <boost/url/parse.hpp>
#include <charconv>

namespace HttpFront {

namespace http = boost::beast::http;

namespace {

    constexpr std::string_view lookupPath = "/v1/lookup";
    constexpr std::string_view servicePrefix = "/v1/services/";
    constexpr auto requestIdHeader = "X-Request-Id";
    constexpr auto deadlineHeader = "X-Deadline-Ms";
    constexpr auto callerHeader = "X-Caller";
    constexpr auto keyHeader = "Idempotency-Key";
    constexpr Core::Millis defaultDeadline { 10'000 };
    constexpr Core::Millis maximumDeadline { 24L * 3600 * 1000 };
    constexpr std::size_t maximumIdLength = 128;

    /// Returns the refusal of a request that could not be decoded. The outcome of a request with an idempotency key is
    /// unknown, because an earlier copy may have been decoded and run.
    auto invalidRequest(const HttpServer::HttpRequest& request, std::string message, std::string remedy)
        -> tl::unexpected<Core::Refusal>
    {
        const auto outcome = request[keyHeader].empty() ? Core::RunOutcome::NotRun : Core::RunOutcome::Unknown;
        return tl::unexpected(
            Core::Refusal { outcome, Core::RefusalReason::InvalidRequest, std::move(message), std::move(remedy), {} });
    }

    auto parseDeadline(std::string_view text) -> std::optional<Core::Millis>
    {
        if (text.empty())
            return defaultDeadline;
        std::int64_t milliseconds = 0;
        const auto* end = text.data() + text.size();
        const auto [parsed, error] = std::from_chars(text.data(), end, milliseconds);
        if (error != std::errc() || parsed != end || milliseconds < 0 || milliseconds > maximumDeadline.count())
            return std::nullopt;
        return Core::Millis(milliseconds);
    }

    auto isPrintable(std::string_view text) -> bool
    {
        return std::all_of(
            text.begin(), text.end(), [](char character) { return character > ' ' && character < '\x7f'; });
    }

} // namespace

HttpFront::HttpFront(Ports::RequestHandler& handler, const Ports::Clock& clock, Ports::RandomSource& random)
    : m_handler(handler)
    , m_clock(clock)
    , m_random(random)
{
}

auto HttpFront::handle(HttpServer::HttpRequest request, Respond respond) -> void
{
    const std::string_view target(request.target().data(), request.target().size());
    if (target.substr(0, target.find('?')) == lookupPath)
        handleLookup(request, respond);
    else if (target.substr(0, servicePrefix.size()) == servicePrefix)
        handleService(std::move(request), respond);
    else
        respond(HttpProblem::encodeError({ Core::ErrorKind::NotFound, "nothing is served at this path",
            "use /v1/lookup or /v1/services/SERVICE/OPERATION" }));
}

auto HttpFront::malformedResponse(http::status status, const std::string& detail) -> HttpServer::HttpResponse
{
    const bool isTooLarge
        = status == http::status::payload_too_large || status == http::status::request_header_fields_too_large;
    const auto reason = isTooLarge ? Core::RefusalReason::RequestTooLarge : Core::RefusalReason::InvalidRequest;
    const Core::Refusal refusal { Core::RunOutcome::NotRun, reason, "the HTTP request cannot be parsed: " + detail,
        "send a request as docs/INTERFACES.md describes", {} };
    auto response = encodeRefusal(Core::RequestId(), refusal);
    response.result(status);
    return response;
}

auto HttpFront::failureResponse() -> HttpServer::HttpResponse
{
    return encodeRefusal(Core::RequestId(),
        { Core::RunOutcome::Unknown, Core::RefusalReason::InternalError, "the request failed inside the entry VM",
            "retry with the same idempotency key; operators check the log", {} });
}

auto HttpFront::overloadedResponse() -> HttpServer::HttpResponse
{
    return encodeRefusal(Core::RequestId(),
        { Core::RunOutcome::NotRun, Core::RefusalReason::Overloaded, "too many connections are open",
            "close idle connections, or use another entry VM from the look-up answer", {} });
}

auto HttpFront::handleLookup(const HttpServer::HttpRequest& request, const Respond& respond) -> void
{
    const auto url = boost::urls::parse_origin_form(request.target());
    Ports::LookupQuery query;
    std::string client;
    if (url) {
        for (const auto& parameter : url->params()) {
            if (parameter.key == "service")
                query.service = Core::ServiceId(parameter.value);
            else if (parameter.key == "client")
                client = parameter.value;
        }
    }
    if (query.service.value().empty()) {
        respond(HttpProblem::encodeError({ Core::ErrorKind::InvalidArgument, "the look-up has no service parameter",
            "request /v1/lookup?service=SERVICE" }));
        return;
    }
    query.client = ClientBlocks::parseAddress(client);
    if (!client.empty() && !query.client) {
        respond(HttpProblem::encodeError({ Core::ErrorKind::InvalidArgument,
            "the look-up's client is not an IP address", "send the client's IPv4 or IPv6 address, or leave it out" }));
        return;
    }
    respond(encodeLookup(m_handler.lookup(query)));
}

auto HttpFront::handleService(HttpServer::HttpRequest request, const Respond& respond) -> void
{
    auto decoded = decode(std::move(request));
    if (!decoded) {
        respond(encodeRefusal(Core::RequestId(), decoded.error()));
        return;
    }
    const auto id = decoded->id;
    m_handler.handle(
        std::move(*decoded), [respond, id](Core::Reply reply) { respond(encodeReply(id, std::move(reply))); });
}

auto HttpFront::decode(HttpServer::HttpRequest request) -> tl::expected<Core::ServiceRequest, Core::Refusal>
{
    const std::string_view target(request.target().data(), request.target().size());
    const auto rest = target.substr(servicePrefix.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    Core::ServiceRequest decoded;
    decoded.service = Core::ServiceId(std::string(rest.substr(0, slash)));
    decoded.operation = slash < rest.size() ? std::string(rest.substr(slash)) : "/";
    decoded.id = Core::RequestId(std::string(request[requestIdHeader]));
    decoded.caller = Core::CallerId(std::string(request[callerHeader]));
    if (decoded.id.value().size() > maximumIdLength || decoded.caller.value().size() > maximumIdLength
        || !isPrintable(decoded.id.value()) || !isPrintable(decoded.caller.value()))
        return invalidRequest(
            request, "X-Request-Id or X-Caller is too long or not printable", "send at most 128 printable characters");
    if (decoded.id.value().empty())
        decoded.id = generateRequestId();
    const auto deadlineText = request[deadlineHeader];
    const auto deadline = parseDeadline({ deadlineText.data(), deadlineText.size() });
    if (!deadline)
        return invalidRequest(request, "X-Deadline-Ms is not a number of milliseconds up to one day",
            "send the remaining time in milliseconds");
    decoded.deadline = m_clock.now() + *deadline;
    if (const auto keyText = request[keyHeader]; !keyText.empty()) {
        auto key = Core::parseRequestKey({ keyText.data(), keyText.size() });
        if (!key)
            return tl::unexpected(Core::Refusal { Core::RunOutcome::NotRun, Core::RefusalReason::KeyInvalid,
                key.error().message, key.error().remedy, {} });
        decoded.key = std::move(*key);
    }
    decoded.body = std::move(request.body());
    return decoded;
}

auto HttpFront::generateRequestId() -> Core::RequestId
{
    return Core::RequestId(toString(Core::Incarnation { m_random.next(), m_random.next() }));
}

} // namespace HttpFront
