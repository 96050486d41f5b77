#include "fakes.h"
#include "steering/relaydispatcher.h"
#include "steering/relayreceiver.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace Fakes;

/// Supplies the credits and the redemption result that the test sets.
class StubCredits : public Steering::CreditSource, public Steering::CreditRedeemer {
public:
    auto countArrival() -> void override { }
    auto acquire(const Configuration::ServicePolicy&, Core::Bytes, CreditCallback callback) -> void override
    {
        if (credits.empty()) {
            callback(std::nullopt);
            return;
        }
        auto credit = credits.back();
        credits.pop_back();
        callback(credit);
    }
    auto countReply(const Core::RegionId&, Core::Rank, Core::Bytes) -> void override { }
    auto redeem(const Steering::CreditId&, const Core::FailureDomainId&, const Core::ServiceId&)
        -> Steering::Redemption override
    {
        return redemption;
    }
    auto markDispatched(const Core::ServiceId&) -> void override { ++dispatched; }

    std::vector<Steering::HeldCredit> credits;
    Steering::Redemption redemption = Steering::Redemption::Accepted;
    int dispatched = 0;
};

struct RelayingEntryVm {
    RelayingEntryVm() { offer(stockPolicy()); }

    auto offer(const Configuration::ServicePolicy& policy) -> void
    {
        servicePolicy = policy;
        auto next = configurationWith(configuration.current()->version.value() + 1, policy);
        next.retryBudget = Core::Share(1);
        configuration.offer(next);
    }

    auto drain() -> void
    {
        auto next = *configuration.current();
        next.version = Core::Version(next.version.value() + 1);
        next.drained = { Core::FailureDomainId("atl-1") };
        configuration.offer(next);
        // The dispatcher detects the drain when it handles a request.
        send("first");
        local.requests.clear();
    }

    auto send(const std::string& id, std::uint32_t hops = 0) -> void
    {
        Core::ServiceRequest request;
        request.id = Core::RequestId(id);
        request.service = stock;
        request.deadline = clock.time + Core::Millis(800);
        request.hops = hops;
        dispatcher.dispatch(
            std::move(request), servicePolicy, [this](Core::Reply reply) { replies.push_back(std::move(reply)); });
    }

    auto outcome(std::size_t index) -> Core::RunOutcome { return std::get<Core::Refusal>(replies.at(index)).outcome; }

    VirtualClock clock;
    SeededRandom random;
    NullEventSink events;
    Configuration::ConfigurationHolder configuration;
    FixedMembership membership;
    FixedLoads loads;
    ManualDispatcher local;
    ManualRelayPort port;
    StubCredits credits;
    Configuration::ServicePolicy servicePolicy;
    Steering::RelayCandidates candidates { membership, clock, Core::EntryVmId("atl-1-a") };
    Steering::RelayDispatcher dispatcher { { clock, random, configuration, candidates, loads, local, port, credits,
                                               events },
        Core::FailureDomainId("atl-1") };
    Steering::RelayReceiver receiver { { clock, configuration, local, credits }, Core::FailureDomainId("atl-1") };
    std::vector<Core::Reply> replies;
};

auto answer(const std::string& id) -> Core::Reply
{
    return Core::Answer { Core::RequestId(id), Core::UpstreamId("u"), 200, "text/plain", "whole" };
}

auto refusal(Core::RunOutcome outcome, Core::RefusalReason reason) -> Core::Reply
{
    return Core::Refusal { outcome, reason, "", "", {} };
}

const Core::Error unreachable { Core::ErrorKind::Unreachable, "gone", "" };

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnEntryVm, RelayingEntryVm)

BOOST_AUTO_TEST_SUITE(WithOwnUpstreams)

BOOST_AUTO_TEST_CASE(RunsTheRequestItself)
{
    loads.loads = { loadOf(3, 2) };
    membership.list = { memberOf("atl-1-b", "atl-1", "atl", loadOf(3, 0)) };
    send("r");
    BOOST_TEST(local.requests.size() == 1U);
    BOOST_TEST(port.relays.empty());
}

BOOST_AUTO_TEST_CASE(RunsTheRequestItselfWhenSaturatedAndCutOff)
{
    loads.loads = { loadOf(3, 3, 5) };
    send("r");
    BOOST_TEST(local.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(UsesACreditOfAnotherFailureDomainWhenSaturated)
{
    loads.loads = { loadOf(3, 3) };
    const auto destination = memberOf("sav-1-a", "sav-1", "sav", loadOf(3, 0)).vm;
    credits.credits = { { destination, { Steering::GrantId(9), 1 } } };
    send("r");
    BOOST_REQUIRE(port.relays.size() == 1U);
    BOOST_TEST(port.relays[0].call.credit->index == 1U);
    BOOST_TEST(port.relays[0].call.request.hops == 1U);
    BOOST_TEST((port.relays[0].call.timeLeft == Core::Duration(Core::Millis(800))));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseUpstreamsBelongToANeighbour)

BOOST_AUTO_TEST_CASE(RelaysInsideTheFailureDomain)
{
    membership.list = { memberOf("atl-1-b", "atl-1", "atl", loadOf(3, 0)) };
    send("r");
    BOOST_REQUIRE(port.relays.size() == 1U);
    BOOST_TEST(!port.relays[0].call.credit);
    port.relays[0].callback(answer("r"));
    BOOST_TEST(std::get<Core::Answer>(replies.at(0)).body == "whole");
}

BOOST_AUTO_TEST_CASE(DoesNotRelayARequestThatHasPassedTooManyEntryVms)
{
    membership.list = { memberOf("atl-1-b", "atl-1", "atl", loadOf(3, 0)) };
    send("r", 3);
    BOOST_TEST(port.relays.empty());
    BOOST_TEST(local.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TriesTheNextNeighbourWhenTheRequestWasNotSent)
{
    offer(stockPolicy(false));
    membership.list
        = { memberOf("atl-1-b", "atl-1", "atl", loadOf(3, 0)), memberOf("atl-1-c", "atl-1", "atl", loadOf(3, 0)) };
    send("r");
    port.relays.at(0).callback(Steering::NotSent { unreachable });
    BOOST_REQUIRE(port.relays.size() == 2U);
    BOOST_TEST((port.relays[0].target != port.relays[1].target));
    BOOST_TEST((port.relays[0].call.attempt != port.relays[1].call.attempt));
}

BOOST_AUTO_TEST_CASE(NeverRetriesALostNonIdempotentRequest)
{
    offer(stockPolicy(false));
    membership.list
        = { memberOf("atl-1-b", "atl-1", "atl", loadOf(3, 0)), memberOf("atl-1-c", "atl-1", "atl", loadOf(3, 0)) };
    send("r");
    port.relays.at(0).callback(Steering::Lost { unreachable });
    BOOST_TEST(port.relays.size() == 1U);
    BOOST_TEST((outcome(0) == Core::RunOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(RetriesLostIdempotentRequestsWithinTheRetryBudget)
{
    auto next = configurationWith(9, stockPolicy());
    next.retryBudget = Core::Share(0.5);
    configuration.offer(next);
    membership.list
        = { memberOf("atl-1-b", "atl-1", "atl", loadOf(30, 0)), memberOf("atl-1-c", "atl-1", "atl", loadOf(30, 0)) };
    for (const auto* id : { "r1", "r2", "r3", "r4" })
        send(id);
    for (std::size_t index = 0; index < 4; ++index)
        port.relays.at(index).callback(Steering::Lost { unreachable });
    BOOST_TEST(port.relays.size() == 6U);
    BOOST_TEST(replies.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ReturnsAnUnknownOutcomeWithoutAnotherAttempt)
{
    membership.list
        = { memberOf("atl-1-b", "atl-1", "atl", loadOf(3, 0)), memberOf("atl-1-c", "atl-1", "atl", loadOf(3, 0)) };
    send("r");
    port.relays.at(0).callback(refusal(Core::RunOutcome::Unknown, Core::RefusalReason::UpstreamFailed));
    BOOST_TEST(port.relays.size() == 1U);
    BOOST_TEST((outcome(0) == Core::RunOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(NeverReturnsTheAnswerOfAnotherRequest)
{
    offer(stockPolicy(false));
    membership.list = { memberOf("atl-1-b", "atl-1", "atl", loadOf(3, 0)) };
    send("r1");
    send("r2");
    port.relays.at(0).callback(answer("r2"));
    port.relays.at(1).callback(answer("r1"));
    BOOST_TEST((outcome(0) == Core::RunOutcome::Unknown));
    BOOST_TEST((outcome(1) == Core::RunOutcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(InADrainedFailureDomain)

BOOST_AUTO_TEST_CASE(ServesUntilTheLastAnswerThatNamesItHasExpired)
{
    loads.loads = { loadOf(3, 0) };
    membership.list = { memberOf("sav-1-a", "sav-1", "sav", loadOf(3, 0)) };
    drain();
    send("cached");
    BOOST_TEST(local.requests.size() == 1U);
    clock.time += Steering::answerWithdrawalTime(*configuration.current());
    send("late");
    BOOST_TEST(local.requests.size() == 1U);
    BOOST_TEST((outcome(0) == Core::RunOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(ContinuesToServeWhenCutOff)
{
    loads.loads = { loadOf(3, 0) };
    drain();
    clock.time += Steering::answerWithdrawalTime(*configuration.current()) * 2;
    send("r");
    BOOST_TEST(local.requests.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatReceivesARelayedRequest)

auto callFrom(const std::string& failureDomain) -> Steering::RelayCall
{
    Steering::RelayCall call;
    call.request.id = Core::RequestId("r");
    call.request.service = stock;
    call.timeLeft = Core::Millis(300);
    call.source = Core::FailureDomainId(failureDomain);
    call.attempt = Steering::AttemptId(77);
    return call;
}

BOOST_AUTO_TEST_CASE(ComputesTheDeadlineOnItsOwnClock)
{
    receiver.accept(callFrom("atl-1"), [](const Core::Reply&) {});
    BOOST_REQUIRE(local.requests.size() == 1U);
    BOOST_TEST((local.requests[0].deadline == clock.time + Core::Millis(300)));
}

BOOST_AUTO_TEST_CASE(RefusesItAsNotRunIfItCrossesFailureDomainsWithoutACredit)
{
    receiver.accept(callFrom("sav-1"), [this](Core::Reply reply) { replies.push_back(std::move(reply)); });
    BOOST_TEST(local.requests.empty());
    BOOST_TEST((outcome(0) == Core::RunOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(RefusesItAsNotRunWhenTheHeadroomIsExhausted)
{
    auto call = callFrom("sav-1");
    call.credit = Steering::CreditId { Steering::GrantId(1), 0 };
    credits.redemption = Steering::Redemption::HeadroomExhausted;
    receiver.accept(call, [this](Core::Reply reply) { replies.push_back(std::move(reply)); });
    BOOST_TEST(local.requests.empty());
    BOOST_TEST((outcome(0) == Core::RunOutcome::NotRun));
    BOOST_TEST(credits.dispatched == 0);
}

BOOST_AUTO_TEST_CASE(DoesNotReportADuplicateAsNotRun)
{
    auto call = callFrom("sav-1");
    call.credit = Steering::CreditId { Steering::GrantId(1), 0 };
    credits.redemption = Steering::Redemption::PossibleDuplicate;
    receiver.accept(call, [this](Core::Reply reply) { replies.push_back(std::move(reply)); });
    BOOST_TEST(local.requests.empty());
    BOOST_TEST((outcome(0) == Core::RunOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(RefusesItAsNotRunWhileStopping)
{
    receiver.refuseNew();
    receiver.accept(callFrom("atl-1"), [this](Core::Reply reply) { replies.push_back(std::move(reply)); });
    BOOST_TEST(local.requests.empty());
    BOOST_TEST((outcome(0) == Core::RunOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(StartsADuplicatedNonIdempotentAttemptOnce)
{
    offer(stockPolicy(false));
    for (int copy = 0; copy < 2; ++copy)
        receiver.accept(callFrom("atl-1"), [this](Core::Reply reply) { replies.push_back(std::move(reply)); });
    BOOST_TEST(local.requests.size() == 1U);
    BOOST_TEST((outcome(0) == Core::RunOutcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
