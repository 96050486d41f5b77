#include "forwarderfixture.h"

#include <boost/test/unit_test.hpp>

using namespace ForwardingTest;
using Core::RefusalReason;
using Core::RunOutcome;
using Ports::ExchangeOutcome;

namespace {

class LeavingCaller : public Forwarding::CallerConnection {
public:
    [[nodiscard]] auto isClosed() const -> bool override { return hasLeft; }

    bool hasLeft = false;
};

struct SilentUpstream : ForwarderFixture {
    /// Sends a request and waits until it has been sent to a second upstream as well.
    auto sendUntilSilent() -> void
    {
        send();
        time.runFor(Core::Millis(1500));
        BOOST_REQUIRE(exchanges.exchanges.size() == 2U);
        BOOST_TEST((exchange(0).call.target.id != exchange(1).call.target.id));
        BOOST_TEST((exchange(1).call.timeLeft < Core::Millis(1000)));
        BOOST_TEST(!exchange(0).isCancelled);
    }
};

struct NonIdempotentRoute : ForwarderFixture {
    NonIdempotentRoute()
    {
        auto route = stockRoute();
        route.isIdempotent = false;
        configure(route);
    }
};

/// Two routes to one service: reports that take long, and quick questions with a short timeout.
struct TwoRoutesOfOneService : ForwarderFixture {
    static constexpr Core::Millis longWork { 1600 };
    static constexpr Core::Millis shortWork { 50 };

    TwoRoutesOfOneService() { configureBoth(Core::Millis(8000)); }

    auto configureBoth(Core::Duration reportTimeout) -> void
    {
        auto reports = stockRoute();
        reports.id = Forwarding::RouteId("report");
        reports.pathPrefix = "/report/";
        reports.hasObjectAffinity = false;
        reports.timeout = reportTimeout;
        reports.targetLatency = Core::Millis(2000);
        auto questions = reports;
        questions.id = Forwarding::RouteId("question");
        questions.pathPrefix = "/question/";
        questions.timeout = Core::Millis(1000);
        questions.targetLatency = Core::Millis(200);
        forwarder.setConfiguration(configurationWith({ reports, questions }));
    }

    /// Sends one request and answers it after the given time. Returns false if it was refused.
    auto ask(const std::string& path, Core::Duration work) -> bool
    {
        replies.clear();
        const auto before = exchanges.exchanges.size();
        send("r" + std::to_string(requests++), path);
        if (exchanges.exchanges.size() == before)
            return false;
        time.runFor(work);
        exchanges.end(before, ExchangeOutcome::Answered);
        return isAnswered();
    }

    auto askForReports(int count) -> void
    {
        for (int report = 0; report < count; ++report)
            BOOST_TEST(ask("/report/1", longWork));
    }

    int requests = 0;
};

struct UnconfiguredForwarder : ForwarderFixture {
    UnconfiguredForwarder()
        : bare({ time, time, random, exchanges, events, metrics, { localLocation, entryVms, {} } })
    {
    }
    Forwarding::Forwarder bare;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ARequest)

BOOST_FIXTURE_TEST_SUITE(ThatMayRunAgain, ForwarderFixture)

BOOST_AUTO_TEST_CASE(GetsItsUpstreamsAnswer)
{
    send();
    exchanges.end(0, ExchangeOutcome::Answered);
    BOOST_TEST(isAnswered());
    BOOST_TEST(events.count("request.forwarded") == 1U);
}

BOOST_AUTO_TEST_CASE(IsSentToAnotherUpstreamWhenItsAnswerIsLost)
{
    send();
    exchanges.end(0, ExchangeOutcome::Lost);
    BOOST_REQUIRE(exchanges.exchanges.size() == 2U);
    BOOST_TEST((exchange(0).call.target.id != exchange(1).call.target.id));
    exchanges.end(1, ExchangeOutcome::Answered);
    BOOST_TEST(isAnswered());
}

BOOST_AUTO_TEST_CASE(IsSentToNoMoreUpstreamsThanItsRouteAllows)
{
    send();
    exchanges.end(0, ExchangeOutcome::Lost);
    exchanges.end(1, ExchangeOutcome::Lost);
    BOOST_TEST(exchanges.exchanges.size() == 2U);
    BOOST_TEST((refusal().outcome == RunOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(GivesTheSecondUpstreamOnlyTheRemainingTime)
{
    send();
    time.runFor(Core::Millis(700));
    exchanges.end(0, ExchangeOutcome::Lost);
    BOOST_TEST((exchange(0).call.timeLeft == Core::Millis(2000)));
    BOOST_TEST((exchange(1).call.timeLeft == Core::Millis(1300)));
}

BOOST_AUTO_TEST_CASE(IsNotRetriedWhenTheBudgetIsExhausted)
{
    forwarder.setRetryAllowance({ 0, 0 });
    send();
    exchanges.end(0, ExchangeOutcome::NotRun);
    BOOST_TEST(exchanges.exchanges.size() == 1U);
    BOOST_TEST((refusal().outcome == RunOutcome::NotRun));
    BOOST_TEST(refusal().retryAfter.count() > 0);
}

BOOST_AUTO_TEST_CASE(IsNotCancelledForSlownessWhileItsUpstreamAnswersOthers)
{
    send("slow");
    for (int second = 0; second < 6; ++second) {
        time.runFor(Core::Millis(300));
        const auto before = exchanges.exchanges.size();
        send("r" + std::to_string(second));
        Ports::ExchangeResult result;
        result.outcome = ExchangeOutcome::Answered;
        result.answer = std::make_shared<TextMessage>("answer");
        result.load = Ports::ReportedLoad { 1, 0, Core::SlotCount(4) };
        exchange(before).callback(result);
    }
    BOOST_TEST(!exchange(0).isCancelled);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhoseUpstreamFallsSilent, SilentUpstream)

/// Review case 1: work longer than the response time limit was broken off although its upstream was sound.
BOOST_AUTO_TEST_CASE(StaysOpenThereWhileNoOtherCanTakeIt)
{
    forwarder.setUpstreams(byId({ upstream("a1") }), {});
    send();
    time.runFor(Core::Millis(1900));
    BOOST_TEST(!exchange(0).isCancelled);
    BOOST_TEST(replies.empty());
    BOOST_TEST(events.count("upstream.silent") == 1U);
    exchanges.end(0, ExchangeOutcome::Answered);
    BOOST_TEST(isAnswered());
}

BOOST_AUTO_TEST_CASE(StaysOpenThereWhenTheRetryBudgetIsExhausted)
{
    forwarder.setRetryAllowance({ 0, 0 });
    send();
    time.runFor(Core::Millis(1900));
    BOOST_TEST(exchanges.exchanges.size() == 1U);
    BOOST_TEST(!exchange(0).isCancelled);
}

BOOST_AUTO_TEST_CASE(IsSentToAnotherAsWellWhoseAnswerIsTaken)
{
    sendUntilSilent();
    exchanges.end(1, ExchangeOutcome::Answered);
    BOOST_TEST(isAnswered());
    BOOST_TEST(exchange(0).isCancelled);
    exchanges.end(0, ExchangeOutcome::Cancelled);
    BOOST_TEST(replies.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TakesTheAnswerOfTheSilentOneIfThatIsFirst)
{
    sendUntilSilent();
    exchanges.end(0, ExchangeOutcome::Answered);
    BOOST_TEST(isAnswered());
    BOOST_TEST(exchange(1).isCancelled);
    exchanges.end(1, ExchangeOutcome::Cancelled);
    BOOST_TEST(replies.size() == 1U);
}

BOOST_AUTO_TEST_CASE(WaitsForTheSilentOneWhenTheOtherRefusesIt)
{
    sendUntilSilent();
    exchanges.end(1, ExchangeOutcome::NotRun);
    BOOST_TEST(replies.empty());
    exchanges.end(0, ExchangeOutcome::Answered);
    BOOST_TEST(isAnswered());
}

BOOST_AUTO_TEST_CASE(IsRefusedWithAnUnknownOutcomeWhenBothFail)
{
    sendUntilSilent();
    exchanges.end(1, ExchangeOutcome::NotRun);
    exchanges.end(0, ExchangeOutcome::Lost);
    BOOST_TEST(exchanges.exchanges.size() == 2U);
    BOOST_TEST((refusal().outcome == RunOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(IsCancelledEverywhereAtItsTimeout)
{
    send();
    time.runFor(stockRoute().timeout);
    BOOST_REQUIRE(exchanges.exchanges.size() == 2U);
    BOOST_TEST(exchange(0).isCancelled);
    BOOST_TEST(exchange(1).isCancelled);
    BOOST_TEST((refusal().reason == RefusalReason::UpstreamTimeout));
}

/// Review case 1: an upstream that reports no load was taken for dead while it answered one request after the other.
BOOST_AUTO_TEST_CASE(IsSentNowhereElseWhileItAnswersOthersWithoutALoadReport)
{
    forwarder.setUpstreams(byId({ upstream("a1") }), {});
    send("slow");
    for (int request = 0; request < 6; ++request) {
        send("r" + std::to_string(request));
        time.runFor(Core::Millis(300));
        BOOST_REQUIRE(exchanges.exchanges.size() == static_cast<std::size_t>(request) + 2);
        exchanges.end(exchanges.exchanges.size() - 1, ExchangeOutcome::Answered);
    }
    BOOST_TEST(events.count("upstream.silent") == 0U);
}

BOOST_AUTO_TEST_CASE(LeavesTheSilentUpstreamWithoutNewRequests)
{
    send();
    const auto silent = exchange(0).call.target.id;
    time.runFor(Core::Millis(1500));
    for (int request = 0; request < 6; ++request) {
        send("r" + std::to_string(request));
        BOOST_TEST((exchanges.exchanges.back()->call.target.id != silent));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatMustRunOnce, NonIdempotentRoute)

BOOST_AUTO_TEST_CASE(IsNotSentToAnotherUpstreamWhenItsOwnFallsSilent)
{
    send();
    time.runFor(Core::Millis(1900));
    BOOST_TEST(exchanges.exchanges.size() == 1U);
    BOOST_TEST(!exchange(0).isCancelled);
}

BOOST_AUTO_TEST_CASE(IsNeverSentAgainAfterItMayHaveRun)
{
    for (const auto outcome : { ExchangeOutcome::Lost, ExchangeOutcome::Invalid, ExchangeOutcome::TimedOut }) {
        replies.clear();
        const auto before = exchanges.exchanges.size();
        send();
        exchanges.end(before, outcome);
        BOOST_TEST(exchanges.exchanges.size() == before + 1);
        BOOST_TEST((refusal().outcome == RunOutcome::Unknown));
    }
}

BOOST_AUTO_TEST_CASE(IsSentAgainAfterItProvablyDidNotRun)
{
    for (const auto outcome : { ExchangeOutcome::NotRun, ExchangeOutcome::Misdirected, ExchangeOutcome::NotSent }) {
        replies.clear();
        // Uses fresh upstreams, whose health the earlier rounds did not affect.
        forwarder.setUpstreams(byId({ upstream("b1-" + toString(outcome)), upstream("b2-" + toString(outcome)) }), {});
        const auto before = exchanges.exchanges.size();
        send();
        exchanges.end(before, outcome);
        BOOST_REQUIRE(exchanges.exchanges.size() == before + 2);
        exchanges.end(before + 1, ExchangeOutcome::Answered);
        BOOST_TEST(isAnswered());
    }
}

BOOST_AUTO_TEST_CASE(IsRefusedWithATimeoutWhicheverTimerFiresFirst)
{
    send();
    exchanges.end(0, ExchangeOutcome::TimedOut);
    BOOST_TEST((refusal().reason == RefusalReason::UpstreamTimeout));
    BOOST_TEST((refusal().outcome == RunOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(HasAnUnknownOutcomeAtItsTimeout)
{
    send();
    time.runFor(Core::Millis(2000));
    BOOST_TEST((refusal().outcome == RunOutcome::Unknown));
    BOOST_TEST((refusal().reason == RefusalReason::UpstreamTimeout));
    BOOST_TEST(exchange(0).isCancelled);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(OfARouteThatSharesItsService, TwoRoutesOfOneService)

/// Review case 4: the time that other routes' requests take kept every request of a quick route from being sent.
BOOST_AUTO_TEST_CASE(IsNotJudgedByTheWorkOfOtherRoutes)
{
    askForReports(8);
    for (int question = 0; question < 8; ++question)
        BOOST_TEST(ask("/question/1", shortWork));
}

/// Review case 4: the same estimate decides when an upstream counts as unresponsive.
BOOST_AUTO_TEST_CASE(IsSentToUpstreamsThatWorkOnLongRequestsOfAnotherRoute)
{
    BOOST_TEST(ask("/question/1", shortWork));
    for (int report = 0; report < 3; ++report)
        send("report" + std::to_string(report), "/report/1");
    time.runFor(Core::Millis(1000));
    BOOST_TEST(ask("/question/1", shortWork));
}

/// Review case 4: nothing was sent that could have corrected the estimate.
BOOST_AUTO_TEST_CASE(IsTriedOnceInAWhileWhenTheEstimateKeepsAllFromBeingSent)
{
    askForReports(8);
    configureBoth(Core::Millis(1000));
    BOOST_TEST(!ask("/report/1", shortWork));
    BOOST_TEST((refusal().reason == RefusalReason::DeadlineUnreachable));
    int served = 0;
    for (int attempt = 0; attempt < 50; ++attempt) {
        time.runFor(Core::Millis(100));
        served += ask("/report/1", shortWork) ? 1 : 0;
    }
    BOOST_TEST(served > 25);
}

BOOST_AUTO_TEST_CASE(IsTriedMoreAndMoreRarelyWhileTheTrialsFail)
{
    askForReports(8);
    configureBoth(Core::Millis(1000));
    const auto before = exchanges.exchanges.size();
    for (int attempt = 0; attempt < 300; ++attempt) {
        time.runFor(Core::Millis(100));
        send("r" + std::to_string(attempt), "/report/1");
    }
    const auto trials = exchanges.exchanges.size() - before;
    BOOST_TEST(trials >= 2U);
    BOOST_TEST(trials <= 8U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhoseCallerDisconnects, ForwarderFixture)

BOOST_AUTO_TEST_CASE(IsCancelledAtTheUpstreamAtOnce)
{
    const auto open = send();
    open->abandon();
    BOOST_TEST(exchange(0).isCancelled);
    exchanges.end(0, ExchangeOutcome::Cancelled);
    BOOST_TEST(exchanges.exchanges.size() == 1U);
}

BOOST_AUTO_TEST_CASE(IsLoggedAsAbandonedByItsCaller)
{
    send()->abandon();
    BOOST_TEST((refusal().reason == RefusalReason::CallerDisconnected));
    BOOST_TEST((refusal().outcome == RunOutcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatIsAboutToBeWritten, ForwarderFixture)

/// Incident DRAIN, GONE: an upstream that began to leave while a connection was opened still got the request.
BOOST_AUTO_TEST_CASE(GoesToAnotherUpstreamIfTheChosenOneIsLeaving)
{
    forwarder.setRetryAllowance({ 0, 0 });
    send();
    BOOST_TEST(exchange(0).call.isStillWanted());
    auto entries = byId({ upstream("a1"), upstream("a2"), upstream("a3") });
    entries.at(exchange(0).call.target.id).isDraining = true;
    forwarder.setUpstreams(entries, {});
    BOOST_TEST(!exchange(0).call.isStillWanted());
    exchanges.end(0, ExchangeOutcome::Withdrawn);
    BOOST_REQUIRE(exchanges.exchanges.size() == 2U);
    BOOST_TEST((exchange(1).call.target.id != exchange(0).call.target.id));
    exchanges.end(1, ExchangeOutcome::Answered);
    BOOST_TEST(isAnswered());
}

BOOST_AUTO_TEST_CASE(GoesNowhereIfItsFailureDomainIsEvacuated)
{
    send();
    forwarder.setUpstreams(
        byId({ upstream("a1"), upstream("a2"), upstream("a3") }), { Core::FailureDomainId("atl-a") });
    BOOST_TEST(!exchange(0).call.isStillWanted());
    exchanges.end(0, ExchangeOutcome::Withdrawn);
    BOOST_TEST((refusal().outcome == RunOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(GoesNowhereIfItsCallerHasLeft)
{
    const auto caller = std::make_shared<LeavingCaller>();
    send("r1", "/stock/7", caller);
    BOOST_TEST(exchange(0).call.isStillWanted());
    caller->hasLeft = true;
    BOOST_TEST(!exchange(0).call.isStillWanted());
    exchanges.end(0, ExchangeOutcome::Withdrawn);
    BOOST_TEST(exchanges.exchanges.size() == 1U);
    BOOST_TEST((refusal().reason == RefusalReason::CallerDisconnected));
}

BOOST_AUTO_TEST_CASE(IsNotSentAtAllIfItsCallerLeftBefore)
{
    const auto caller = std::make_shared<LeavingCaller>();
    caller->hasLeft = true;
    send("r1", "/stock/7", caller);
    BOOST_TEST(exchanges.exchanges.empty());
    BOOST_TEST((refusal().reason == RefusalReason::CallerDisconnected));
    BOOST_TEST((refusal().outcome == RunOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(DoesNotCountAgainstTheUpstreamWhenItIsWithdrawn)
{
    for (int request = 0; request < 5; ++request) {
        send("r" + std::to_string(request));
        exchanges.end(exchanges.exchanges.size() - 1, ExchangeOutcome::Withdrawn);
        replies.clear();
    }
    forwarder.runProbes();
    BOOST_TEST(exchanges.probes == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatNothingCanServe, ForwarderFixture)

BOOST_AUTO_TEST_CASE(IsRefusedAtOnceWithARetryDelay)
{
    forwarder.setUpstreams({}, {});
    send();
    BOOST_TEST((refusal().reason == RefusalReason::NoUpstream));
    BOOST_TEST((refusal().outcome == RunOutcome::NotRun));
    BOOST_TEST(refusal().retryAfter.count() > 0);
    BOOST_TEST((refusal().retryAfter <= Core::Millis(1000)));
}

BOOST_AUTO_TEST_CASE(IsRefusedAsUnknownWhenNoRouteMatches)
{
    send("r1", "/tents/1");
    BOOST_TEST((refusal().reason == RefusalReason::UnknownService));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(BeforeTheFirstConfiguration, UnconfiguredForwarder)

BOOST_AUTO_TEST_CASE(IsRefusedAsNotConfigured)
{
    Forwarding::ForwardRequest request;
    request.host = "desk.example";
    request.path = "/stock/7";
    bare.handle(request, [this](Forwarding::ForwardReply reply) { replies.push_back(std::move(reply)); });
    BOOST_TEST((refusal().reason == RefusalReason::NotConfigured));
    BOOST_TEST((refusal().outcome == RunOutcome::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatCrashesUpstreams, ForwarderFixture)

BOOST_AUTO_TEST_CASE(IsQuarantinedAfterTheSecondCrash)
{
    std::vector<Dispatch::CrashReport> announced;
    forwarder.crashGuard().setCrashReportCallback(
        [&](const Dispatch::CrashReport& crashReport) { announced.push_back(crashReport); });
    exchanges.isReachable = false;
    send();
    exchanges.end(0, ExchangeOutcome::Lost);
    exchanges.end(1, ExchangeOutcome::Lost);
    BOOST_TEST(announced.size() == 2U);
    replies.clear();
    send("r2");
    BOOST_TEST(exchanges.exchanges.size() == 2U);
    BOOST_TEST((refusal().reason == RefusalReason::RequestQuarantined));
}

BOOST_AUTO_TEST_CASE(IsNotSuspectedWhenOnlyItsAnswerWasLost)
{
    send();
    exchanges.end(0, ExchangeOutcome::Lost);
    exchanges.end(1, ExchangeOutcome::Lost);
    replies.clear();
    send("r2");
    BOOST_TEST(exchanges.exchanges.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(BeforeAPlannedStop, ForwarderFixture)

BOOST_AUTO_TEST_CASE(IsTakenWithItsWholeTimeWhenThatEndsBeforeTheStop)
{
    forwarder.setShutdownDeadline(time.now() + stockRoute().timeout);
    send();
    BOOST_REQUIRE(exchanges.exchanges.size() == 1U);
    BOOST_TEST((exchange(0).call.timeLeft == stockRoute().timeout));
    exchanges.end(0, ExchangeOutcome::Answered);
    BOOST_TEST(isAnswered());
}

BOOST_AUTO_TEST_CASE(IsRefusedAtOnceAsNotRunWhenItsTimeEndsAfterTheStop)
{
    forwarder.setShutdownDeadline(time.now() + stockRoute().timeout - Core::Millis(1));
    send();
    BOOST_TEST(exchanges.exchanges.empty());
    BOOST_TEST((refusal().reason == RefusalReason::ShuttingDown));
    BOOST_TEST((refusal().outcome == RunOutcome::NotRun));
    BOOST_TEST(refusal().retryAfter.count() > 0);
}

/// Review case 1: a stopping VM answered 502 for requests that sound upstreams were at work on.
BOOST_AUTO_TEST_CASE(IsNotGivenUpWhileAllUpstreamsAreAtWork)
{
    auto route = stockRoute();
    route.hasObjectAffinity = false;
    configure(route);
    for (int request = 0; request < 12; ++request)
        send("r" + std::to_string(request));
    BOOST_REQUIRE(exchanges.exchanges.size() == 12U);
    time.runFor(Core::Millis(400));
    forwarder.setShutdownDeadline(time.now() + Core::Millis(6000));
    time.runFor(Core::Millis(1500));
    BOOST_TEST(replies.empty());
    for (std::size_t request = 0; request < 12; ++request) {
        BOOST_TEST(!exchange(request).isCancelled);
        exchanges.end(request, ExchangeOutcome::Answered);
    }
    BOOST_TEST(replies.size() == 12U);
}

BOOST_AUTO_TEST_CASE(IsNotCutShortWhenTheStopIsAnnouncedLater)
{
    send();
    forwarder.setShutdownDeadline(time.now() + Core::Millis(500));
    time.runFor(Core::Millis(1500));
    BOOST_TEST(replies.empty());
    exchanges.end(0, ExchangeOutcome::Answered);
    BOOST_TEST(isAnswered());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
