#include "httpforward/forwardfront.h"

#include "httpforward/httpmessage.h"

#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <cstdio>

namespace HttpForward {

namespace {

    namespace beast = boost::beast;
    namespace http = beast::http;
    using Core::RefusalReason;
    using HttpServer::HttpRequest;
    using HttpServer::HttpResponse;

    constexpr int httpVersion = 11;
    /// Retry-After of the response to connections and requests beyond the limits of the server.
    constexpr Core::Millis unavailableRetryAfter { 200 };

    auto textResponse(http::status status, const std::string& text) -> HttpResponse
    {
        HttpResponse response { status, httpVersion };
        response.set(http::field::content_type, "text/plain");
        response.body() = text + '\n';
        return response;
    }

    /// Sets Retry-After to the time in seconds, with milliseconds as fraction.
    auto setRetryAfter(HttpResponse& response, Core::Duration time) -> void
    {
        std::array<char, 32> text {};
        const auto length
            = std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
        response.set(http::field::retry_after, std::string_view(text.data(), static_cast<std::size_t>(length)));
    }

    auto statusFor(const Forwarding::ForwardRefusal& refusal) -> http::status
    {
        if (refusal.outcome == Core::RunOutcome::Unknown)
            return refusal.reason == RefusalReason::UpstreamTimeout ? http::status::gateway_timeout
                                                                    : http::status::bad_gateway;
        if (refusal.reason == RefusalReason::UnknownService)
            return http::status::not_found;
        if (refusal.reason == RefusalReason::UnknownApiKey)
            return http::status::unauthorized;
        if (refusal.reason == RefusalReason::QuotaExceeded)
            return http::status::too_many_requests;
        return http::status::service_unavailable;
    }

    auto encodeRefusal(const Forwarding::ForwardRefusal& refusal) -> HttpResponse
    {
        auto response = textResponse(statusFor(refusal), refusal.message);
        if (refusal.retryAfter.count() > 0)
            setRetryAfter(response, refusal.retryAfter);
        return response;
    }

    auto encodeAnswer(const Ports::Message& message) -> HttpResponse
    {
        auto response = static_cast<const AnswerMessage&>(message).response();
        removeConnectionHeaders(response);
        response.version(httpVersion);
        return response;
    }

    auto encodeStreamed(const Forwarding::StreamedAnswer& answer) -> HttpServer::StreamedResponse
    {
        HttpServer::StreamedResponse response { encodeAnswer(*answer.head), answer.body };
        // The end of a body without length must differ from a broken connection.
        if (!response.head.has_content_length())
            response.head.chunked(true);
        return response;
    }

    /// Encodes the reply to a request, and responds with it.
    class ReplyEncoder {
    public:
        explicit ReplyEncoder(HttpServer::HttpHandler::Respond respond)
            : m_respond(std::move(respond))
        {
        }
        auto operator()(const Ports::MessagePointer& answer) const -> void { m_respond(encodeAnswer(*answer)); }
        auto operator()(const Forwarding::ForwardRefusal& refusal) const -> void { m_respond(encodeRefusal(refusal)); }
        auto operator()(const Forwarding::StreamedAnswer& answer) const -> void { m_respond(encodeStreamed(answer)); }

    private:
        HttpServer::HttpHandler::Respond m_respond;
    };

    auto replyTo(HttpServer::HttpHandler::Respond respond) -> Forwarding::ForwardCallback
    {
        return [encoder = ReplyEncoder(std::move(respond))](
                   const Forwarding::ForwardReply& reply) { std::visit(encoder, reply); };
    }

    auto cookieValue(const HttpRequest& request, const std::string& name) -> std::string
    {
        const auto [first, last] = request.equal_range(http::field::cookie);
        for (auto header = first; header != last; ++header) {
            std::string_view rest(header->value());
            while (!rest.empty()) {
                const auto end = rest.find(';');
                auto pair = rest.substr(0, end);
                pair.remove_prefix(std::min(pair.find_first_not_of(' '), pair.size()));
                if (pair.size() > name.size() && pair[name.size()] == '=' && pair.starts_with(name))
                    return std::string(pair.substr(name.size() + 1));
                rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
            }
        }
        return {};
    }

    /// Returns the token of the scheme "Bearer" (RFC 6750).
    auto bearerToken(const HttpRequest& request) -> std::optional<Organisations::ApiKey>
    {
        constexpr std::string_view scheme = "Bearer ";
        const std::string_view credentials(request[http::field::authorization]);
        if (credentials.size() <= scheme.size() || !beast::iequals(credentials.substr(0, scheme.size()), scheme))
            return std::nullopt;
        return Organisations::ApiKey(std::string(credentials.substr(scheme.size())));
    }

    auto parseCallerTimeout(std::string_view text) -> std::optional<Core::Duration>
    {
        std::int64_t milliseconds = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return Core::Millis(milliseconds);
    }

    class HttpCaller : public Forwarding::CallerConnection {
    public:
        explicit HttpCaller(std::shared_ptr<const HttpServer::DisconnectNotifier> client)
            : m_client(std::move(client))
        {
        }
        [[nodiscard]] auto isClosed() const -> bool override { return m_client->isDisconnected(); }
        [[nodiscard]] auto origin() const -> std::optional<Core::RequestOrigin> override { return m_client->origin(); }

    private:
        const std::shared_ptr<const HttpServer::DisconnectNotifier> m_client;
    };

} // namespace

ForwardFront::ForwardFront(Forwarding::Forwarder& forwarder, HeaderNames names)
    : m_forwarder(forwarder)
    , m_names(std::move(names))
{
}

auto ForwardFront::decode(HttpRequest request) const -> Forwarding::ForwardRequest
{
    Forwarding::ForwardRequest decoded;
    decoded.id = Core::RequestId(std::string(request[m_names.requestId]));
    decoded.host = std::string(request[http::field::host]);
    decoded.path = std::string(request.target());
    decoded.object = Forwarding::ObjectKey(cookieValue(request, m_names.objectCookie));
    decoded.apiKey = bearerToken(request);
    decoded.callerTimeout = parseCallerTimeout(request[m_names.timeLeft]);
    decoded.message = std::make_shared<RequestMessage>(std::move(request));
    return decoded;
}

auto ForwardFront::handle(HttpRequest request, Respond respond) -> void
{
    m_forwarder.handle(decode(std::move(request)), replyTo(std::move(respond)));
}

auto ForwardFront::handleCancellable(
    const std::shared_ptr<HttpServer::DisconnectNotifier>& client, HttpRequest request, Respond respond) -> void
{
    auto decoded = decode(std::move(request));
    decoded.caller = std::make_shared<HttpCaller>(client);
    const auto pending = m_forwarder.handle(std::move(decoded), replyTo(std::move(respond)));
    client->onDisconnect([weak = std::weak_ptr(pending)] {
        if (const auto request = weak.lock())
            request->abandon();
    });
}

auto ForwardFront::mayOverlap(const HttpRequest& request) const -> bool
{
    // Methods that are not safe must not be reordered with others, though they may run twice (RFC 9112, section 9.3.2).
    const auto method = request.method();
    if (method != http::verb::get && method != http::verb::head && method != http::verb::options)
        return false;
    const auto configuration = m_forwarder.configuration();
    if (!configuration)
        return false;
    const auto route = configuration->routes.find(std::string(request[http::field::host]), request.target());
    return route && route->isIdempotent;
}

auto ForwardFront::malformedResponse(http::status status, const std::string& detail) -> HttpResponse
{
    return textResponse(status, "the request cannot be parsed: " + detail);
}

auto ForwardFront::failureResponse() -> HttpResponse
{
    return textResponse(http::status::bad_gateway, "internal error");
}

auto ForwardFront::overloadedResponse() -> HttpResponse
{
    auto response = textResponse(http::status::service_unavailable, "too many connections");
    setRetryAfter(response, unavailableRetryAfter);
    return response;
}

} // namespace HttpForward
