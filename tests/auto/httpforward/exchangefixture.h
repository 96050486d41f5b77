#pragma once

#include "httpforward/httpexchangeclient.h"
#include "httpforward/httpmessage.h"
#include "runtime/asioruntime.h"
#include "scriptedupstreams.h"
#include "support/runtimethread.h"

#include <future>

namespace HttpForwardTest {

inline auto names() -> HttpForward::HeaderNames
{
    return { "Request-Id", "Time-Left", "Object", "Expected", "Upstream", "Load", "Not-Run", "Cold-Left", "Leaving",
        "Organisation" };
}

inline auto answer(const std::string& id, const std::string& body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/// Exchange client whose runtime runs on threads of its own.
struct ExchangeClientFixture {
    explicit ExchangeClientFixture(HttpClient::Limits limits = {})
        : client(runtime.context(), limits)
    {
    }
    static auto call(const Core::Address& address, const std::string& id, std::int64_t start = 1) -> Ports::ExchangeCall
    {
        HttpServer::HttpRequest request { boost::beast::http::verb::get, "/stock/7?page=2", 11 };
        request.set("Host", "desk.example");
        request.set("Request-Id", id);
        request.set("Expected", "forged");
        request.set("Connection", "X-Private, keep-alive");
        request.set("X-Private", "for one hop");
        request.set("X-Kept", "yes");
        return { { Core::UpstreamId("u1"), Core::ProcessStartId(start), address }, Core::RequestId(id),
            std::make_shared<HttpForward::RequestMessage>(request), Core::Millis(2000) };
    }

    auto exchange(const Core::Address& address, const std::string& id, std::int64_t start = 1) -> Ports::ExchangeResult
    {
        const auto promise = std::make_shared<std::promise<Ports::ExchangeResult>>();
        exchanges.start(call(address, id, start),
            [promise](Ports::ExchangeResult result) { promise->set_value(std::move(result)); });
        return promise->get_future().get();
    }

    static auto bodyOf(const Ports::ExchangeResult& result) -> std::string
    {
        return static_cast<const HttpForward::AnswerMessage&>(*result.answer).response().body();
    }

    Runtime::AsioRuntime runtime { 2 };
    HttpClient::Client client;
    HttpForward::HttpExchangeClient exchanges { client, names() };
    TestSupport::RuntimeThread thread { runtime };
};

} // namespace HttpForwardTest
