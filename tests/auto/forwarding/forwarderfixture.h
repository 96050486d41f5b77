#pragma once

#include "fakes.h"

#include <boost/test/unit_test.hpp>

namespace ForwardingTest {

/// Forwarder with three upstreams, whose exchanges the test ends.
struct ForwarderFixture {
    explicit ForwarderFixture(const Forwarding::BufferSettings& buffers = {})
        : forwarder({ time, time, random, exchanges, events, metrics, { localLocation, entryVms, {} },
            std::make_shared<Quotas::UnlimitedQuotas>(), buffers })
    {
        forwarder.setRetryAllowance({ 1, 10 });
        forwarder.setUpstreams(byId({ upstream("a1"), upstream("a2"), upstream("a3") }), {});
        configure(stockRoute());
    }

    auto configure(const Forwarding::Route& route) -> void { forwarder.setConfiguration(configurationWith({ route })); }

    auto send(const std::string& id = "r1", const std::string& path = "/stock/7",
        std::shared_ptr<const Forwarding::CallerConnection> caller = nullptr)
        -> std::shared_ptr<Forwarding::OpenRequest>
    {
        Forwarding::ForwardRequest request;
        request.id = Core::RequestId(id);
        request.host = "desk.example";
        request.path = path;
        request.object = Forwarding::ObjectKey("7");
        request.callerTimeout = Core::Millis(3000);
        request.message = std::make_shared<TextMessage>("question");
        request.caller = std::move(caller);
        return forwarder.handle(
            std::move(request), [this](Forwarding::ForwardReply reply) { replies.push_back(std::move(reply)); });
    }

    auto refusal() -> const Forwarding::ForwardRefusal&
    {
        BOOST_REQUIRE(replies.size() == 1U);
        return std::get<Forwarding::ForwardRefusal>(replies.front());
    }

    auto isAnswered() -> bool
    {
        return replies.size() == 1 && std::holds_alternative<Ports::MessagePointer>(replies.front());
    }

    auto exchange(std::size_t index) -> ManualExchangeClient::ManualExchange& { return *exchanges.exchanges.at(index); }

    TestSupport::VirtualTime time;
    SeededRandom random;
    ManualExchangeClient exchanges;
    EventRecorder events;
    NullMetrics metrics;
    SingleEntryVm entryVms;
    Forwarding::Forwarder forwarder;
    std::vector<Forwarding::ForwardReply> replies;
};

} // namespace ForwardingTest
