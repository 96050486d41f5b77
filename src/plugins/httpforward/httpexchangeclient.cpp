#include "httpforward/httpexchangeclient.h"

#include "httpforward/httpmessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace HttpForward {

namespace {

    namespace http = boost::beast::http;
    using Ports::ExchangeOutcome;

    constexpr Core::Millis healthTimeout { 1000 };
    /// A health report is in the headers; its body is read only to keep the connection usable.
    const Core::Bytes healthBodyLimit { 64UL * 1024 };
    /// Longest pause that an upstream can ask for, so that a wrong value does not exclude it for good.
    constexpr std::chrono::seconds maximumPause { 120 };
    /// Figures of a load report that are known; newer upstreams may send more.
    constexpr std::size_t maximumFigures = 4;
    /// A load report with a larger figure is not believed, so that a wrong value does not exclude the upstream.
    const Core::Percent maximumWorkTime { 10'000 };
    constexpr int httpVersion = 11;

    class PendingExchange : public Ports::Exchange {
    public:
        explicit PendingExchange(std::shared_ptr<HttpClient::PendingCall> call)
            : m_call(std::move(call))
        {
        }
        auto cancel() -> void override { m_call->cancel(); }

    private:
        std::shared_ptr<HttpClient::PendingCall> m_call;
    };

    auto outcomeOf(const HttpClient::Failure& failure) -> ExchangeOutcome
    {
        switch (failure.stage) {
        case HttpClient::FailureStage::Withdrawn:
            return ExchangeOutcome::Withdrawn;
        case HttpClient::FailureStage::OwnShortage:
            return ExchangeOutcome::OwnShortage;
        case HttpClient::FailureStage::BeforeWrite:
            return ExchangeOutcome::NotSent;
        case HttpClient::FailureStage::AfterWrite:
            return ExchangeOutcome::Lost;
        case HttpClient::FailureStage::TimedOut:
            return ExchangeOutcome::TimedOut;
        case HttpClient::FailureStage::InvalidResponse:
            return ExchangeOutcome::Invalid;
        case HttpClient::FailureStage::Cancelled:
            break;
        }
        return ExchangeOutcome::Cancelled;
    }

    auto errorKindOf(const HttpClient::Failure& failure) -> Core::ErrorKind
    {
        if (failure.stage == HttpClient::FailureStage::OwnShortage
            || failure.stage == HttpClient::FailureStage::Cancelled)
            return Core::ErrorKind::Internal;
        const bool isTimeout = failure.stage == HttpClient::FailureStage::TimedOut || failure.hasConnectTimedOut;
        return isTimeout ? Core::ErrorKind::Timeout : Core::ErrorKind::Unreachable;
    }

    auto parseNumber(std::string_view text) -> std::optional<std::uint32_t>
    {
        std::uint32_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    /// Parses figures that are separated by commas; one that is not a number is absent.
    auto parseFigures(std::string_view text) -> std::vector<std::optional<std::uint32_t>>
    {
        std::vector<std::optional<std::uint32_t>> figures;
        while (!text.empty() && figures.size() < maximumFigures) {
            const auto end = std::min(text.find(','), text.size());
            figures.push_back(parseNumber(text.substr(0, end)));
            text.remove_prefix(std::min(end + 1, text.size()));
        }
        return figures;
    }

    /// Parses a number of seconds, which may have a fraction. Returns zero for anything else, a date for example.
    auto parseRetryAfter(std::string_view text) -> Core::Duration
    {
        double seconds = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
        if (error != std::errc() || end != text.data() + text.size() || !(seconds > 0))
            return {};
        const std::chrono::duration<double> limit(maximumPause);
        const std::chrono::duration<double> pause(seconds);
        return std::chrono::duration_cast<Core::Duration>(std::min(pause, limit));
    }

    auto incarnationOf(const Ports::UpstreamTarget& target) -> std::string
    {
        return target.id.value() + '/' + std::to_string(target.start.value());
    }

} // namespace

HttpExchangeClient::HttpExchangeClient(HttpClient::Client& client, HeaderNames names)
    : m_client(client)
    , m_names(std::move(names))
{
}

auto HttpExchangeClient::encode(const Ports::ExchangeCall& call) const -> HttpClient::HttpRequest
{
    auto request = static_cast<const RequestMessage&>(*call.request).request();
    removeConnectionHeaders(request);
    request.set(m_names.timeLeft, std::to_string(std::chrono::floor<Core::Millis>(call.timeLeft).count()));
    request.set(m_names.expectedUpstream, call.target.id.value());
    if (call.caller) {
        request.erase(http::field::authorization);
        request.erase(m_names.organisation);
        if (call.caller->organisation)
            request.set(m_names.organisation, call.caller->organisation->value());
    }
    request.version(httpVersion);
    request.keep_alive(true);
    if (!request.body().empty() || request.has_content_length())
        request.content_length(request.body().size());
    return request;
}

auto HttpExchangeClient::start(Ports::ExchangeCall call, ResultCallback callback) -> std::shared_ptr<Ports::Exchange>
{
    HttpClient::Call httpCall;
    httpCall.address = call.target.address;
    httpCall.request = encode(call);
    httpCall.timeout = call.timeLeft;
    httpCall.incarnation = incarnationOf(call.target);
    httpCall.ownerOf = [this, id = call.id.value()](const HttpClient::ResponseHead& response) {
        const auto echoed = response.find(m_names.requestId);
        if (echoed == response.end())
            return HttpClient::ResponseOwner::Unknown;
        return echoed->value() == id ? HttpClient::ResponseOwner::ThisRequest : HttpClient::ResponseOwner::OtherRequest;
    };
    httpCall.streamsLargeBody = true;
    httpCall.isStillWanted = std::move(call.isStillWanted);
    httpCall.onIdleConnectionClosed = std::move(call.onConnectionClosed);
    auto pending = m_client.send(std::move(httpCall),
        [this, callback = std::move(callback)](tl::expected<HttpClient::Exchange, HttpClient::Failure> result) {
            if (result) {
                callback(decode(std::move(*result)));
                return;
            }
            Ports::ExchangeResult failed;
            failed.outcome = outcomeOf(result.error());
            failed.reusedConnection = result.error().reusedConnection;
            failed.unacknowledged = result.error().unacknowledged;
            failed.detail = result.error().detail;
            callback(failed);
        });
    return std::make_shared<PendingExchange>(std::move(pending));
}

auto HttpExchangeClient::decode(HttpClient::Exchange exchange) const -> Ports::ExchangeResult
{
    Ports::ExchangeResult result;
    auto& response = exchange.response;
    result.status = static_cast<int>(response.result_int());
    result.reusedConnection = exchange.reusedConnection;
    result.load = decodeLoad(response);
    result.signals = decodeSignals(response);
    result.isUpstreamError = http::to_status_class(response.result()) == http::status_class::server_error;
    if (response.find(m_names.requestId) == response.end()) {
        // It may belong to an earlier request on this connection, and proves nothing about this one.
        result.outcome = ExchangeOutcome::Invalid;
        result.detail = "the answer " + std::to_string(result.status) + " has no request id";
    } else if (response.result() == http::status::misdirected_request) {
        result.outcome = ExchangeOutcome::Misdirected;
        result.detail = "the address belongs to another upstream";
    } else if (response.find(m_names.notRun) != response.end()) {
        result.outcome = ExchangeOutcome::NotRun;
        result.detail = "the upstream answered " + std::to_string(result.status);
    } else {
        result.outcome = ExchangeOutcome::Answered;
        result.size = Core::Bytes(response.body().size());
        result.answer = std::make_shared<AnswerMessage>(std::move(response));
        result.body = exchange.body;
    }
    if (exchange.body && !result.body)
        exchange.body->cancel();
    return result;
}

auto HttpExchangeClient::decodeSignals(const HttpClient::HttpResponse& response) const -> Ports::UpstreamSignals
{
    Ports::UpstreamSignals signals;
    signals.isLeaving = response[m_names.leaving] == "1";
    if (response.result() == http::status::service_unavailable)
        signals.pause = parseRetryAfter(response[http::field::retry_after]);
    return signals;
}

auto HttpExchangeClient::decodeLoad(const HttpClient::HttpResponse& response) const
    -> std::optional<Ports::ReportedLoad>
{
    const auto figures = parseFigures(response[m_names.load]);
    const auto figure
        = [&figures](std::size_t index) { return index < figures.size() ? figures[index] : std::nullopt; };
    const auto running = figure(0);
    const auto waiting = figure(1);
    const auto slots = figure(2);
    if (!running || !waiting || !slots)
        return std::nullopt;
    Ports::ReportedLoad load { *running, *waiting, Core::SlotCount(*slots) };
    if (const auto workTime = figure(3); workTime && *workTime > 0 && *workTime <= maximumWorkTime.value())
        load.workTime = Core::Percent(*workTime);
    return load;
}

auto HttpExchangeClient::probeHealth(
    const Ports::UpstreamTarget& target, const std::string& path, HealthCallback callback) -> void
{
    HttpClient::Call call;
    call.address = target.address;
    call.request = { http::verb::get, path, httpVersion };
    call.request.set(http::field::host, target.address.value());
    call.timeout = healthTimeout;
    call.maximumBody = healthBodyLimit;
    call.incarnation = incarnationOf(target);
    m_client.send(std::move(call),
        [this, callback = std::move(callback)](tl::expected<HttpClient::Exchange, HttpClient::Failure> result) {
            if (result)
                callback(decodeHealth(result->response));
            else
                callback(Core::fail(errorKindOf(result.error()), result.error().detail, "retry later"));
        });
}

auto HttpExchangeClient::decodeHealth(const HttpClient::HttpResponse& response) const
    -> Core::Result<Ports::HealthReport>
{
    Ports::HealthReport report;
    report.isHealthy = response.result() == http::status::ok;
    report.id = Core::UpstreamId(std::string(response[m_names.upstream]));
    report.load = decodeLoad(response);
    report.signals = decodeSignals(response);
    report.coldRemaining = Core::Millis(parseNumber(response[m_names.coldRemaining]).value_or(0));
    return report;
}

} // namespace HttpForward
