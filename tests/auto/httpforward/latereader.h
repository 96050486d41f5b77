#pragma once

#include "exchangefixture.h"
#include "lateupstream.h"

namespace HttpForwardTest {

/// Exchange of a large request with an upstream that reads it late.
struct LateReader : ExchangeClientFixture, LateUpstream {
    auto startLargeRequest(Core::Duration timeLeft) -> std::shared_ptr<Ports::Exchange>
    {
        HttpServer::HttpRequest request { boost::beast::http::verb::post, "/stock/7", 11 };
        request.set("Request-Id", "r1");
        request.body() = std::string(largeRequest, 'x');
        auto large = call(address(), "r1");
        large.request = std::make_shared<HttpForward::RequestMessage>(request);
        large.timeLeft = timeLeft;
        result = {};
        auto pending = exchanges.start(
            std::move(large), [this](Ports::ExchangeResult ended) { result.set_value(std::move(ended)); });
        accept();
        return pending;
    }

    std::promise<Ports::ExchangeResult> result;
};

} // namespace HttpForwardTest
