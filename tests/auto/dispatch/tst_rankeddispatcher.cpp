#include "rankeddispatcherfixture.h"

#include <boost/test/unit_test.hpp>

using namespace DispatchTest;
using Core::Rank;
using Core::RefusalReason;

namespace {

const auto urgent = RankedDispatcherFixture::policyFor(Rank::Urgent);
const auto deferrable = RankedDispatcherFixture::policyFor(Rank::Deferrable);

auto booking() -> Configuration::ServicePolicy
{
    auto policy = RankedDispatcherFixture::policyFor(Rank::Normal);
    policy.isIdempotent = false;
    return policy;
}

struct OneSlot : RankedDispatcherFixture {
    OneSlot() { listUpstreams({ "u1" }, 1); }
};

struct ThreeUpstreams : RankedDispatcherFixture {
    ThreeUpstreams() { listUpstreams({ "u1", "u2", "u3" }, 2); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RankedDispatching)

BOOST_FIXTURE_TEST_SUITE(WhileTheOnlySlotIsTaken, OneSlot)

BOOST_AUTO_TEST_CASE(UrgentWorkOvertakesDeferrableWork)
{
    send("running", deferrable);
    send("audit", deferrable);
    send("look-up", urgent);
    time.runFor(500ms);
    BOOST_TEST((order == std::vector<std::string> { "running", "look-up", "audit" }));
}

BOOST_AUTO_TEST_CASE(TheEarliestDeadlineOfACallerGoesFirst)
{
    send("running", urgent);
    send("later", urgent, 900ms);
    send("sooner", urgent, 300ms);
    time.runFor(500ms);
    BOOST_TEST((order == std::vector<std::string> { "running", "sooner", "later" }));
}

BOOST_AUTO_TEST_CASE(ACallerWithManyRequestsTakesTurnsWithAnotherOne)
{
    for (const auto* id : { "running", "many-1", "many-2", "many-3" })
        send(id, urgent, 1s, "many");
    send("one", urgent, 1s, "single");
    time.runFor(500ms);
    BOOST_REQUIRE(order.size() == 5U);
    BOOST_TEST(order[2] == "one");
}

BOOST_AUTO_TEST_CASE(ADeadlineThatPassesInTheQueueIsRefusedNotRunAtThatMoment)
{
    upstreams.setServiceTime(urgent.service, 10s);
    send("running", urgent, 60s);
    send("waiting", urgent, 100ms);
    time.runFor(101ms);
    BOOST_TEST(isRefusedNotRun("waiting", RefusalReason::DeadlinePassed));
    BOOST_TEST(!upstreams.runs().contains(Core::RequestId("waiting")));
}

BOOST_AUTO_TEST_CASE(AWaitThatCannotEndInTimeIsRefusedAtOnce)
{
    send("measured", urgent);
    time.runFor(100ms);
    for (int index = 0; index < 20; ++index)
        send("queued-" + std::to_string(index), urgent, 10s);
    send("hopeless", urgent, 50ms);
    BOOST_TEST(isRefusedNotRun("hopeless", RefusalReason::DeadlineUnreachable));
}

BOOST_AUTO_TEST_CASE(ARequestThatCanNoLongerEndInTimeIsNotStarted)
{
    for (int index = 0; index < 10; ++index) {
        send("measured-" + std::to_string(index), urgent);
        time.runFor(50ms);
    }
    upstreams.setServiceTime(urgent.service, 100ms);
    send("running", urgent);
    time.runFor(10ms);
    send("waiting", urgent, 90ms);
    time.runFor(500ms);
    BOOST_TEST(isAnswered("running"));
    BOOST_TEST(isRefusedNotRun("waiting", RefusalReason::DeadlineUnreachable));
    BOOST_TEST(!upstreams.runs().contains(Core::RequestId("waiting")));
}

BOOST_AUTO_TEST_CASE(SlowServiceTimesNoLongerCountOnceTheUpstreamIsFastAgain)
{
    upstreams.setServiceTime(urgent.service, 400ms);
    for (int index = 0; index < 10; ++index)
        send("slow-" + std::to_string(index), urgent, 10s);
    time.runFor(10s);
    upstreams.setServiceTime(urgent.service, 20ms);
    for (int index = 0; index < 60; ++index) {
        send("fast-" + std::to_string(index), urgent);
        time.runFor(50ms);
    }
    for (int index = 0; index < 5; ++index)
        send("burst-" + std::to_string(index), urgent, 300ms);
    time.runFor(300ms);
    for (int index = 0; index < 5; ++index)
        BOOST_TEST(isAnswered("burst-" + std::to_string(index)));
}

BOOST_AUTO_TEST_CASE(AFullQueueEvictsDeferrableWorkForUrgentWork)
{
    for (int index = 0; index < 2049; ++index)
        send("audit-" + std::to_string(index), deferrable, 3600s);
    send("look-up", urgent);
    BOOST_TEST(std::count_if(replies.begin(), replies.end(), [this](const auto& reply) {
        return isRefusedNotRun(reply.first, RefusalReason::Overloaded);
    }) == 1);
    time.runFor(200ms);
    BOOST_TEST(isAnswered("look-up"));
}

BOOST_AUTO_TEST_CASE(AGracefulStopAnswersWhatItHoldsAndRefusesTheRest)
{
    bool isDrained = false;
    send("held-1", urgent);
    send("held-2", urgent);
    dispatcher.drain([&] { isDrained = true; });
    send("late", urgent);
    BOOST_TEST(isRefusedNotRun("late", RefusalReason::ShuttingDown));
    BOOST_TEST(!isDrained);
    time.runFor(200ms);
    BOOST_TEST(isDrained);
    BOOST_TEST(isAnswered("held-2"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(UnderAFloodOfUrgentWork, OneSlot)

BOOST_AUTO_TEST_CASE(DeferrableWorkKeepsItsFloor)
{
    auto audits = deferrable;
    audits.floor = Core::Share(0.2);
    for (int index = 0; index < 400; ++index) {
        send("look-up-" + std::to_string(index), urgent, 60s);
        send("audit-" + std::to_string(index), audits, 60s);
    }
    time.runFor(4s);
    const auto audited
        = std::count_if(order.begin(), order.end(), [](const auto& id) { return id.starts_with("audit"); });
    BOOST_TEST(static_cast<double>(audited) / static_cast<double>(order.size()) >= 0.19);
    BOOST_TEST(static_cast<double>(audited) / static_cast<double>(order.size()) <= 0.25);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(UnderAFloodOfDeferrableWork, ThreeUpstreams)

BOOST_AUTO_TEST_CASE(SlotsStayFreeForTheUsualUrgentLoad)
{
    for (int index = 0; index < 400; ++index) {
        send("look-up-" + std::to_string(index), urgent);
        time.runFor(10ms);
    }
    time.runFor(100ms);
    const auto before = arrivalsAt("u1") + arrivalsAt("u2") + arrivalsAt("u3");
    for (int index = 0; index < 20; ++index)
        send("audit-" + std::to_string(index), deferrable, 60s);
    time.runFor(5ms);
    const auto started = arrivalsAt("u1") + arrivalsAt("u2") + arrivalsAt("u3") - before;
    BOOST_TEST(started >= 1U);
    BOOST_TEST(started <= 4U);
}

BOOST_AUTO_TEST_CASE(AllSlotsServeItWhileNothingIsUrgent)
{
    for (int index = 0; index < 20; ++index)
        send("audit-" + std::to_string(index), deferrable, 60s);
    time.runFor(5ms);
    BOOST_TEST(arrivalsAt("u1") + arrivalsAt("u2") + arrivalsAt("u3") == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenAnUpstream, ThreeUpstreams)

BOOST_AUTO_TEST_CASE(ShedsABookingUnrunAnotherOneRunsItOnce)
{
    upstreams.behaviour(Core::UpstreamId("u1")).shedsAll = true;
    send("booking", booking());
    time.runFor(200ms);
    BOOST_TEST(isAnswered("booking"));
    BOOST_TEST(upstreams.runs().at(Core::RequestId("booking")) == 1U);
}

BOOST_AUTO_TEST_CASE(LosesABookingItsOutcomeIsUnknownAndItNeverRunsAgain)
{
    upstreams.behaviour(Core::UpstreamId("u1")).lossProbability = 1;
    send("booking", booking());
    time.runFor(2s);
    BOOST_TEST(isRefused("booking", Core::RunOutcome::Unknown, RefusalReason::UpstreamFailed));
    BOOST_TEST(upstreams.runs().at(Core::RequestId("booking")) == 1U);
}

BOOST_AUTO_TEST_CASE(GivesAnotherRequestsAnswerItReachesNoCaller)
{
    upstreams.behaviour(Core::UpstreamId("u1")).misroutesAnswers = true;
    send("booking", booking());
    time.runFor(2s);
    BOOST_TEST(isRefused("booking", Core::RunOutcome::Unknown, RefusalReason::UpstreamAnswerInvalid));
    BOOST_TEST(upstreams.runs().at(Core::RequestId("booking")) == 1U);
}

BOOST_AUTO_TEST_CASE(LosesAnIdempotentRequestAnotherOneAnswers)
{
    upstreams.behaviour(Core::UpstreamId("u1")).lossProbability = 1;
    send("look-up", urgent);
    time.runFor(200ms);
    BOOST_TEST(isAnswered("look-up"));
}

BOOST_AUTO_TEST_CASE(RunsABookingPastItsDeadlineTheOutcomeIsUnknown)
{
    upstreams.setServiceTime(booking().service, 10s);
    send("booking", booking(), 500ms);
    time.runFor(1s);
    BOOST_TEST(isRefused("booking", Core::RunOutcome::Unknown, RefusalReason::UpstreamTimeout));
}

BOOST_AUTO_TEST_CASE(NeverStartedABookingTheCancelMakesItNotRun)
{
    for (const auto* name : { "u1", "u2", "u3" })
        upstreams.behaviour(Core::UpstreamId(name)).slots = 0;
    send("booking", booking(), 500ms);
    time.runFor(1s);
    BOOST_TEST(isRefusedNotRun("booking", RefusalReason::UpstreamTimeout));
}

BOOST_AUTO_TEST_CASE(AnnouncesADrainItGetsNoMoreWorkThoughTheListStillNamesIt)
{
    upstreams.behaviour(Core::UpstreamId("u1")).isDraining = true;
    for (int index = 0; index < 200; ++index) {
        send("look-up-" + std::to_string(index), urgent);
        time.runFor(20ms);
    }
    time.runFor(100ms);
    BOOST_TEST(arrivalsAt("u1") <= 1U);
    BOOST_TEST(isAnswered("look-up-199"));
}

BOOST_AUTO_TEST_CASE(DiesItIsEjectedAndReturnsAfterAGoodProbe)
{
    dispatcher.start();
    upstreams.behaviour(Core::UpstreamId("u1")).isDown = true;
    for (int index = 0; index < 100; ++index) {
        send("during-" + std::to_string(index), urgent);
        time.runFor(20ms);
        BOOST_TEST(isAnswered("during-" + std::to_string(std::max(0, index - 10))));
    }
    const auto whileDown = arrivalsAt("u1");
    BOOST_TEST(whileDown <= 3U);
    upstreams.behaviour(Core::UpstreamId("u1")).isDown = false;
    for (int index = 0; index < 300; ++index) {
        send("after-" + std::to_string(index), urgent);
        time.runFor(20ms);
    }
    BOOST_TEST(arrivalsAt("u1") > whileDown + 20);
}

BOOST_AUTO_TEST_CASE(HasAnUnresponsiveConnectionTheEndpointStaysInUse)
{
    upstreams.behaviour(Core::UpstreamId("u1")).hasUnresponsiveConnections = true;
    for (int index = 0; index < 10; ++index) {
        send("booking-" + std::to_string(index), booking(), 300ms);
        time.runFor(400ms);
    }
    upstreams.behaviour(Core::UpstreamId("u1")).hasUnresponsiveConnections = false;
    const auto before = arrivalsAt("u1");
    for (int index = 0; index < 6; ++index)
        send("look-up-" + std::to_string(index), urgent);
    time.runFor(200ms);
    BOOST_TEST(arrivalsAt("u1") == before + 2);
}

BOOST_AUTO_TEST_CASE(JoinsColdItIsBroughtToItsSlotsSlowly)
{
    send("first", urgent);
    time.runFor(5s);
    listUpstreams({ "u1", "u2", "u3", "cold" }, 4);
    for (int index = 0; index < 16; ++index)
        send("look-up-" + std::to_string(index), urgent);
    time.runFor(5ms);
    BOOST_TEST(arrivalsAt("cold") == 1U);
    BOOST_TEST(arrivalsAt("u2") >= 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenLoadReportsAreWrong, ThreeUpstreams)

BOOST_AUTO_TEST_CASE(AFalseDrainOfAllUpstreamsStopsNothing)
{
    dispatcher.start();
    for (const auto* name : { "u1", "u2", "u3" })
        upstreams.behaviour(Core::UpstreamId(name)).falseReport
            = Ports::LoadReport { Core::SlotCount(2), Core::SlotCount(2), true };
    time.runFor(2s);
    send("look-up", urgent);
    time.runFor(200ms);
    BOOST_TEST(isAnswered("look-up"));
}

BOOST_AUTO_TEST_CASE(AFalseDrainOfOneUpstreamCostsNoSlots)
{
    dispatcher.start();
    upstreams.behaviour(Core::UpstreamId("u1")).falseReport
        = Ports::LoadReport { Core::SlotCount(2), Core::SlotCount(0), true };
    time.runFor(2s);
    for (int index = 0; index < 4; ++index)
        send("look-up-" + std::to_string(index), urgent);
    time.runFor(5ms);
    BOOST_TEST(arrivalsAt("u1") == 0U);
    send("fifth", urgent);
    time.runFor(5ms);
    BOOST_TEST(arrivalsAt("u1") == 1U);
}

BOOST_AUTO_TEST_CASE(AStuckReportOfFullSlotsLeavesTheUpstreamInUse)
{
    dispatcher.start();
    upstreams.behaviour(Core::UpstreamId("u1")).falseReport
        = Ports::LoadReport { Core::SlotCount(2), Core::SlotCount(200), false };
    time.runFor(2s);
    for (int index = 0; index < 6; ++index)
        send("look-up-" + std::to_string(index), urgent);
    time.runFor(200ms);
    BOOST_TEST(arrivalsAt("u1") == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenARequestCrashesUpstreams, ThreeUpstreams)

BOOST_AUTO_TEST_CASE(ItNeverReachesAThirdOneHoweverOftenItIsSentAgain)
{
    upstreams.setCrashOn("poison");
    for (int index = 0; index < 10; ++index) {
        send("copy-" + std::to_string(index), urgent, 1s, "desk", "poison");
        time.runFor(500ms);
    }
    std::uint32_t crashes = 0;
    for (const auto& [id, record] : upstreams.records())
        crashes += record.crashes;
    BOOST_TEST(crashes == 2U);
    BOOST_TEST(isRefusedNotRun("copy-9", RefusalReason::RequestQuarantined));
}

BOOST_AUTO_TEST_CASE(ACrashReportOfAnotherEntryVmCounts)
{
    upstreams.setCrashOn("poison");
    Core::ServiceRequest request;
    request.service = urgent.service;
    request.body = "poison";
    const std::set<Core::UpstreamId> elsewhere { Core::UpstreamId("v1"), Core::UpstreamId("v2") };
    BOOST_TEST(dispatcher.quarantine().merge({ { Dispatch::fingerprintOf(request), elsewhere } }, time.now()));
    send("copy", urgent, 1s, "desk", "poison");
    BOOST_TEST(isRefusedNotRun("copy", RefusalReason::RequestQuarantined));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AnEntryVmHasJustStarted, DispatchTest::RankedDispatcherFixture)

BOOST_AUTO_TEST_CASE(ThenItsLoadIsKnownBeforeTheFirstRequestOfAService)
{
    auto configured = *configuration.current();
    configured.version = Core::Version(2);
    for (const auto rank : Core::allRanks) {
        const auto policy = policyFor(rank);
        configured.services[policy.service] = policy;
    }
    configuration.offer(configured);
    listUpstreams({ "u1" }, 2);
    dispatcher.start();
    const auto loads = dispatcher.serviceLoads();
    BOOST_TEST(loads.size() == Core::rankCount);
    for (const auto& load : loads)
        BOOST_TEST(load.usableSlots.value() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
