#include "httpupstream/httpupstreamclient.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace HttpUpstream {

namespace {

    namespace http = boost::beast::http;
    using Ports::UpstreamOutcome;

    constexpr int httpVersion = 11;
    constexpr Core::Millis controlTimeout { 1000 };
    constexpr auto requestIdHeader = "X-Request-Id";
    constexpr auto deadlineHeader = "X-Deadline-Ms";
    constexpr auto rankHeader = "X-Rank";
    constexpr auto keyHeader = "Idempotency-Key";
    constexpr auto notRunHeader = "X-Not-Run";
    constexpr auto drainingHeader = "X-Draining";

    auto makeRequest(http::verb verb, const std::string& target, const Core::Address& address)
        -> HttpClient::HttpRequest
    {
        HttpClient::HttpRequest request { verb, target, httpVersion };
        request.set(http::field::host, address.value());
        return request;
    }

    auto encode(const Ports::UpstreamCall& call, Core::Duration remaining) -> HttpClient::HttpRequest
    {
        auto request = makeRequest(http::verb::post, "/v1/run" + call.request.operation, call.address);
        request.set(requestIdHeader, call.request.id.value());
        request.set(deadlineHeader, std::to_string(std::chrono::duration_cast<Core::Millis>(remaining).count()));
        request.set(rankHeader, std::string(toString(call.rank)));
        if (call.request.key)
            request.set(keyHeader, toString(*call.request.key));
        request.body() = call.request.body;
        request.prepare_payload();
        return request;
    }

    /// Returns true if the text has no spaces or control characters. A request that another entry VM relayed has not
    /// passed the HTTP parser of this one, and could inject header lines.
    auto isValidInRequestLine(const std::string& text) -> bool
    {
        return std::none_of(text.begin(), text.end(),
            [](char character) { return (character >= 0 && character <= ' ') || character == '\x7f'; });
    }

    auto outcomeFor(HttpClient::FailureStage stage) -> UpstreamOutcome
    {
        switch (stage) {
        case HttpClient::FailureStage::Withdrawn:
        case HttpClient::FailureStage::OwnShortage:
        case HttpClient::FailureStage::BeforeWrite:
            return UpstreamOutcome::NotSent;
        case HttpClient::FailureStage::AfterWrite:
        case HttpClient::FailureStage::Cancelled:
            return UpstreamOutcome::Lost;
        case HttpClient::FailureStage::TimedOut:
            return UpstreamOutcome::TimedOut;
        case HttpClient::FailureStage::InvalidResponse:
            break;
        }
        return UpstreamOutcome::Invalid;
    }

    auto decode(HttpClient::Exchange exchange, const Core::RequestId& id, const Core::UpstreamId& upstream)
        -> Ports::UpstreamResult
    {
        auto& response = exchange.response;
        Ports::UpstreamResult result;
        result.reusedConnection = exchange.reusedConnection;
        result.isDraining = response[drainingHeader] == "true";
        if (response.result() == http::status::service_unavailable && response[notRunHeader] == "true") {
            result.outcome = UpstreamOutcome::Shed;
            return result;
        }
        if (std::string(response[requestIdHeader]) != id.value()) {
            result.outcome = UpstreamOutcome::Invalid;
            result.detail = "the answer has the id of another request";
            return result;
        }
        result.outcome = UpstreamOutcome::Answered;
        result.answer = { id, upstream, static_cast<int>(response.result_int()),
            std::string(response[http::field::content_type]), std::move(response.body()) };
        return result;
    }

    auto parseLoad(const std::string& text) -> Core::Result<Ports::LoadReport>
    {
        try {
            const auto report = nlohmann::json::parse(text);
            return Ports::LoadReport { Core::SlotCount(report.at("slots").get<std::uint32_t>()),
                Core::SlotCount(report.at("busy").get<std::uint32_t>()), report.at("draining").get<bool>() };
        } catch (const std::exception& error) {
            return Core::fail(Core::ErrorKind::InvalidMessage,
                std::string("the upstream's load report is not valid: ") + error.what(),
                "check the upstream against docs/INTERFACES.md");
        }
    }

} // namespace

HttpUpstreamClient::HttpUpstreamClient(HttpClient::Client& client, const Ports::Clock& clock)
    : m_client(client)
    , m_clock(clock)
{
}

auto HttpUpstreamClient::send(Ports::UpstreamCall call, ResultCallback callback) -> void
{
    const auto remaining = call.request.deadline - m_clock.now();
    if (remaining <= Core::Duration::zero()) {
        callback({ UpstreamOutcome::NotSent, {}, false, false, "the deadline has passed" });
        return;
    }
    if (!isValidInRequestLine(call.request.operation) || !isValidInRequestLine(call.request.id.value())) {
        callback({ UpstreamOutcome::NotSent, {}, false, false,
            "the operation or request id contains spaces or control characters" });
        return;
    }
    m_client.send({ call.address, encode(call, remaining), remaining },
        [id = call.request.id, upstream = call.upstream, callback = std::move(callback)](
            tl::expected<HttpClient::Exchange, HttpClient::Failure> result) {
            if (result) {
                callback(decode(std::move(*result), id, upstream));
                return;
            }
            const auto& failure = result.error();
            callback({ outcomeFor(failure.stage), {}, false, failure.reusedConnection, failure.detail });
        });
}

auto HttpUpstreamClient::queryLoad(const Core::Address& address, LoadCallback callback) -> void
{
    m_client.send({ address, makeRequest(http::verb::get, "/v1/load", address), controlTimeout },
        [callback = std::move(callback)](tl::expected<HttpClient::Exchange, HttpClient::Failure> result) {
            if (result && result->response.result() == http::status::ok) {
                callback(parseLoad(result->response.body()));
                return;
            }
            callback(Core::fail(Core::ErrorKind::Unreachable, "the upstream did not report its load",
                "operators check that the upstream is up"));
        });
}

auto HttpUpstreamClient::cancel(const Core::Address& address, const Core::RequestId& id, CancelCallback callback)
    -> void
{
    m_client.send({ address, makeRequest(http::verb::delete_, "/v1/run/" + id.value(), address), controlTimeout },
        [callback = std::move(callback)](tl::expected<HttpClient::Exchange, HttpClient::Failure> result) {
            const bool isCancelled
                = result && result->response.result() == http::status::ok && result->response[notRunHeader] == "true";
            callback(isCancelled ? Ports::CancelOutcome::CancelledBeforeStart : Ports::CancelOutcome::NotCancelled);
        });
}

} // namespace HttpUpstream
