#include "poolfixture.h"

using namespace ForwardingTest;
using namespace std::chrono_literals;
using Core::RefusalReason;
using Core::RunOutcome;
using Ports::ExchangeOutcome;

namespace {

class LeavingCaller : public Forwarding::CallerConnection {
public:
    [[nodiscard]] auto isClosed() const -> bool override { return hasLeft; }

    bool hasLeft = false;
};

/// A VM that knows no others, and one upstream, whose four slots and places in the queue are taken.
struct FullUpstream {
    FullUpstream()
    {
        forwarder.setUpstreams(byId({ upstream("a1") }), {});
        auto route = stockRoute();
        route.targetLatency = Core::Millis(1000);
        forwarder.setConfiguration(configurationWith({ route }));
        for (int request = 0; request < 8; ++request)
            send();
        BOOST_REQUIRE(exchanges.exchanges.size() == 8U);
    }

    /// Returns the number of the request.
    auto send(std::shared_ptr<const Forwarding::CallerConnection> caller = nullptr) -> std::size_t
    {
        const auto number = replies.size();
        replies.emplace_back();
        Forwarding::ForwardRequest request;
        request.id = Core::RequestId("r" + std::to_string(number));
        request.host = "desk.example";
        request.path = "/stock/7";
        request.object = Forwarding::ObjectKey("7");
        request.callerTimeout = Core::Millis(3000);
        request.message = std::make_shared<TextMessage>("question");
        request.caller = std::move(caller);
        operations.push_back(forwarder.handle(std::move(request),
            [this, number](Forwarding::ForwardReply reply) { replies[number] = std::move(reply); }));
        return number;
    }

    auto refusal(std::size_t number) -> const Forwarding::ForwardRefusal&
    {
        BOOST_REQUIRE(replies.at(number).has_value());
        return std::get<Forwarding::ForwardRefusal>(*replies.at(number));
    }

    TestSupport::VirtualTime time;
    SeededRandom random;
    ManualExchangeClient exchanges;
    EventRecorder events;
    NullMetrics metrics;
    SingleEntryVm entryVms;
    std::vector<std::optional<Forwarding::ForwardReply>> replies;
    std::vector<std::shared_ptr<Forwarding::OpenRequest>> operations;
    Forwarding::Forwarder forwarder { { time, time, random, exchanges, events, metrics,
        { localLocation, entryVms, {} } } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(ARequestWithoutRoom)

BOOST_FIXTURE_TEST_SUITE(ThatCanStillBeInTime, FullUpstream)

BOOST_AUTO_TEST_CASE(IsStartedWhenASlotBecomesFree)
{
    const auto waiting = send();
    BOOST_TEST(exchanges.exchanges.size() == 8U);
    BOOST_TEST(!replies[waiting].has_value());
    time.runFor(100ms);
    exchanges.end(0, ExchangeOutcome::Answered);
    BOOST_REQUIRE(exchanges.exchanges.size() == 9U);
    exchanges.end(8, ExchangeOutcome::Answered);
    BOOST_TEST(std::holds_alternative<Ports::MessagePointer>(*replies[waiting]));
}

BOOST_AUTO_TEST_CASE(GoesBeforeARequestThatComesLater)
{
    send();
    send();
    exchanges.end(0, ExchangeOutcome::Answered);
    BOOST_REQUIRE(exchanges.exchanges.size() == 9U);
    BOOST_TEST(exchanges.exchanges[8]->call.id.value() == "r8");
}

BOOST_AUTO_TEST_CASE(IsRefusedAsNotRunWhenItCannotBeInTimeAnyMore)
{
    const auto waiting = send();
    time.runFor(1100ms);
    BOOST_TEST((refusal(waiting).outcome == RunOutcome::NotRun));
    BOOST_TEST((refusal(waiting).reason == RefusalReason::Overloaded));
    exchanges.end(0, ExchangeOutcome::Answered);
    BOOST_TEST(exchanges.exchanges.size() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhoseCallerLeaves, FullUpstream)

BOOST_AUTO_TEST_CASE(LeavesTheSlotToOthers)
{
    const auto caller = std::make_shared<LeavingCaller>();
    send(caller);
    const auto staying = send();
    caller->hasLeft = true;
    exchanges.end(0, ExchangeOutcome::Answered);
    BOOST_REQUIRE(exchanges.exchanges.size() == 9U);
    BOOST_TEST(exchanges.exchanges[8]->call.id.value() == "r" + std::to_string(staying));
}

BOOST_AUTO_TEST_CASE(IsForgottenWhenItIsAbandoned)
{
    const auto waiting = send();
    operations[waiting]->abandon();
    exchanges.end(0, ExchangeOutcome::Answered);
    BOOST_TEST(exchanges.exchanges.size() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AmongMoreThanMayWait, FullUpstream)

BOOST_AUTO_TEST_CASE(IsRefusedAtOnce)
{
    constexpr int waiting = 70;
    for (int request = 0; request < waiting; ++request)
        send();
    const auto refused
        = std::count_if(replies.begin(), replies.end(), [](const auto& reply) { return reply.has_value(); });
    BOOST_TEST(refused == 6);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnUpstreamThatWasFullWhenItLastReported)

/// A burst has passed, and the VM takes a report of a full upstream each time that it tries. Before what is known of
/// other VMs faded, such a VM refused everything for good.
BOOST_FIXTURE_TEST_CASE(IsTriedAgainWhenTheLoadMayHavePassed, PoolFixture)
{
    list({ upstream("a1") });
    for (int request = 0; request < 30; ++request) {
        now += Core::Millis(3000);
        const auto choice = choose("1");
        BOOST_REQUIRE(choice);
        Forwarding::ExchangeReport report;
        report.target = choice->target;
        report.exchange = choice->exchange;
        report.load = Ports::ReportedLoad { 4, 12, Core::SlotCount(4), std::nullopt };
        pool.endExchange(report, now);
    }
}

BOOST_AUTO_TEST_CASE(ThatSaysItHasRoomAndRejectsIsLeftAloneForAMoment)
{
    PoolFixture fixture;
    fixture.list({ upstream("a1"), upstream("a2") });
    const auto choice = fixture.choose("");
    BOOST_REQUIRE(choice);
    fixture.end(*choice, "", ExchangeOutcome::NotRun);
    for (int request = 0; request < 4; ++request) {
        const auto other = fixture.choose("");
        BOOST_REQUIRE(other);
        BOOST_TEST((other->target.id != choice->target.id));
    }
}

BOOST_AUTO_TEST_SUITE_END()
