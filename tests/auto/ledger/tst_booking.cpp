#include "fakes/booking/bookingfleet.h"

#include <boost/test/unit_test.hpp>

namespace {

using Fakes::PendingReply;
using Fakes::UpstreamBehaviour;

constexpr std::uint64_t seed = 1;
constexpr Core::Duration shortDelay = Core::Millis(50);
constexpr Core::Duration settleTime = Core::Millis(5000);

/// Three entry VMs: vm-0 is the home of the key, and one of the others is its backup.
struct BookingFixture {
    BookingFixture()
    {
        fleet.world.runFor(shortDelay);
        key = *fleet.freshKey(home);
        backup = fleet.backupOf(key);
        other = 3 - backup;
    }
    ~BookingFixture()
    {
        BOOST_TEST(fleet.checker.violations() == std::vector<std::string>(), boost::test_tools::per_element());
    }

    auto runs() -> std::size_t { return fleet.checker.runs(toString(key)); }
    auto setUpstreamBehaviour(UpstreamBehaviour behaviour) -> void
    {
        fleet.node(home)->upstreams.behaviour = [behaviour] { return behaviour; };
    }

    Fakes::BookingFleet fleet { seed };
    const std::size_t home = 0;
    std::size_t backup = 0;
    std::size_t other = 0;
    Core::RequestKey key;
};

auto isAnswer(const PendingReply& reply) -> bool { return *reply && std::holds_alternative<Core::Answer>(**reply); }

auto isRefusal(const PendingReply& reply, Core::RunOutcome outcome) -> bool
{
    const auto* refusal = *reply ? std::get_if<Core::Refusal>(&**reply) : nullptr;
    return refusal != nullptr && refusal->outcome == outcome;
}

auto isNotRun(const PendingReply& reply) -> bool { return isRefusal(reply, Core::RunOutcome::NotRun); }
auto isUnknown(const PendingReply& reply) -> bool { return isRefusal(reply, Core::RunOutcome::Unknown); }

auto reasonOf(const PendingReply& reply) -> Core::RefusalReason { return std::get<Core::Refusal>(**reply).reason; }

} // namespace

BOOST_FIXTURE_TEST_SUITE(ABooking, BookingFixture)

BOOST_AUTO_TEST_SUITE(ThatIsSentThroughEveryEntryVmAtOnce)

BOOST_AUTO_TEST_CASE(RunsOnceAndEveryCopyGetsTheAnswer)
{
    std::vector<PendingReply> replies;
    for (std::size_t via = 0; via < 3; ++via) {
        replies.push_back(fleet.send(via, key));
        replies.push_back(fleet.send(via, key));
    }
    fleet.world.runFor(settleTime);
    for (const auto& reply : replies)
        BOOST_TEST(isAnswer(reply));
    BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_CASE(AnswersEachCopyUnderItsOwnRequestId)
{
    const auto first = fleet.send(home, key);
    const auto second = fleet.send(other, key);
    fleet.world.runFor(settleTime);
    BOOST_TEST(std::get<Core::Answer>(**first).id != std::get<Core::Answer>(**second).id);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatIsSentAgainWhileItRuns)

BOOST_AUTO_TEST_CASE(WaitsForTheOneRunAndGetsItsAnswer)
{
    setUpstreamBehaviour(UpstreamBehaviour::Hold);
    const auto first = fleet.send(home, key);
    fleet.world.runFor(shortDelay);
    const auto second = fleet.send(other, key);
    fleet.world.runFor(shortDelay);
    BOOST_TEST(!second->has_value());
    fleet.node(home)->upstreams.release();
    fleet.world.runFor(shortDelay);
    BOOST_TEST(isAnswer(first));
    BOOST_TEST(isAnswer(second));
    BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatIsSentAgainAfterItsAnswer)

BOOST_AUTO_TEST_CASE(GetsTheFirstAnswerThroughAnyEntryVm)
{
    fleet.send(home, key);
    fleet.world.runFor(settleTime);
    const auto retry = fleet.send(other, key);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isAnswer(retry));
    BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_CASE(IsUnknownWhenTheRetryHasDifferentContent)
{
    fleet.send(home, key);
    fleet.world.runFor(settleTime);
    const auto retry = fleet.send(home, key, "booking", Core::Millis(2000), "two pegs");
    fleet.world.runFor(settleTime);
    BOOST_TEST(isUnknown(retry));
    BOOST_TEST((reasonOf(retry) == Core::RefusalReason::KeyInvalid));
}

BOOST_AUTO_TEST_CASE(IsAnsweredEvenIfTheDeadlineOfTheRetryHasPassed)
{
    fleet.send(home, key);
    fleet.world.runFor(settleTime);
    const auto retry = fleet.send(home, key, "booking", Core::Duration(0));
    fleet.world.runFor(settleTime);
    BOOST_TEST(isAnswer(retry));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatTheUpstreamDoesNotAnswer)

BOOST_AUTO_TEST_CASE(StaysUnknownWhenItRanAndTheAnswerWasLost)
{
    setUpstreamBehaviour(UpstreamBehaviour::RunAndLoseAnswer);
    const auto first = fleet.send(home, key);
    fleet.world.runFor(settleTime);
    setUpstreamBehaviour(UpstreamBehaviour::Answer);
    const auto retry = fleet.send(other, key);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isUnknown(first));
    BOOST_TEST(isUnknown(retry));
    BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_CASE(StaysUnknownWhenTheUpstreamCrashedOnIt)
{
    setUpstreamBehaviour(UpstreamBehaviour::CrashBeforeRun);
    fleet.send(home, key);
    fleet.world.runFor(settleTime);
    setUpstreamBehaviour(UpstreamBehaviour::Answer);
    BOOST_TEST(!isAnswer(fleet.send(home, key)));
    fleet.world.runFor(settleTime);
    BOOST_TEST(runs() == 0U);
}

BOOST_AUTO_TEST_CASE(IsFinallyNotRunWhenTheUpstreamShedIt)
{
    setUpstreamBehaviour(UpstreamBehaviour::Shed);
    const auto first = fleet.send(home, key);
    fleet.world.runFor(settleTime);
    setUpstreamBehaviour(UpstreamBehaviour::Answer);
    const auto late = fleet.send(other, key);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isNotRun(first));
    BOOST_TEST(isNotRun(late));
    BOOST_TEST(!std::get<Core::Refusal>(**late).keyPrefix.empty());
    BOOST_TEST(runs() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseHomeIsKilled)

BOOST_AUTO_TEST_CASE(BeforeItStartedIsNotRun)
{
    fleet.crash(home);
    fleet.updateAllViews();
    const auto reply = fleet.send(other, key);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isNotRun(reply));
}

BOOST_AUTO_TEST_CASE(WhileItRunsIsUnknown)
{
    setUpstreamBehaviour(UpstreamBehaviour::Hold);
    fleet.send(home, key);
    fleet.world.runFor(shortDelay);
    fleet.node(home)->upstreams.release();
    fleet.crash(home);
    fleet.updateAllViews();
    const auto retry = fleet.send(other, key);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isUnknown(retry));
    BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_CASE(AfterItsAnswerIsAnsweredByTheBackup)
{
    fleet.send(home, key);
    fleet.world.runFor(shortDelay);
    fleet.crash(home);
    fleet.updateAllViews();
    const auto viaBackup = fleet.send(backup, key);
    const auto viaOther = fleet.send(other, key);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isAnswer(viaBackup));
    BOOST_TEST(isAnswer(viaOther));
    BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_CASE(AndRestartedUnderTheSameAddressIsNotRunAgain)
{
    fleet.send(home, key);
    fleet.world.runFor(shortDelay);
    fleet.crash(home);
    fleet.start(home);
    fleet.updateAllViews();
    const auto retry = fleet.send(home, key);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isAnswer(retry));
    BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_CASE(TogetherWithItsBackupIsUnknown)
{
    fleet.crash(home);
    fleet.crash(backup);
    fleet.start(backup);
    fleet.updateAllViews();
    const auto reply = fleet.send(other, key);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isUnknown(reply));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseHomeIsPausedPastEveryTimeout)

BOOST_AUTO_TEST_CASE(IsNotStartedOnResumeAfterTheBackupResolvedItAsNotRun)
{
    fleet.send(home, key);
    fleet.pause(home);
    fleet.suspect(backup, home);
    fleet.suspect(other, home);
    const auto reply = fleet.send(other, key);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isNotRun(reply));
    fleet.resume(home);
    fleet.world.runFor(settleTime);
    BOOST_TEST(runs() == 0U);
}

BOOST_AUTO_TEST_CASE(IsNotStartedOnResumeAfterTheBackupDroppedTheSealedEpoch)
{
    fleet.send(home, key, "booking", std::chrono::hours(1));
    fleet.pause(home);
    fleet.suspect(backup, home);
    const auto reply = fleet.send(backup, key);
    fleet.world.runFor(std::chrono::minutes(15));
    BOOST_TEST(isNotRun(reply));
    fleet.resume(home);
    fleet.world.runFor(settleTime);
    BOOST_TEST(runs() == 0U);
}

BOOST_AUTO_TEST_CASE(AndWronglySuspectedLosesOnlyItsEpoch)
{
    fleet.suspect(backup, home);
    const auto sealing = fleet.send(backup, key);
    fleet.world.runFor(shortDelay);
    BOOST_TEST(isNotRun(sealing));
    const auto second = fleet.send(home, *fleet.freshKey(home));
    fleet.world.runFor(settleTime);
    BOOST_TEST(isNotRun(second));
    const auto third = fleet.send(home, *fleet.freshKey(home));
    fleet.world.runFor(settleTime);
    BOOST_TEST(isAnswer(third));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseHomeIsCutOffFromItsBackup)

BOOST_AUTO_TEST_CASE(IsNotRunAndTheNextEpochHasAnotherBackup)
{
    fleet.cut(home, backup);
    const auto reply = fleet.send(home, key);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isNotRun(reply));
    const auto next = *fleet.freshKey(home);
    BOOST_TEST(fleet.backupOf(next) == other);
    const auto second = fleet.send(home, next);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isAnswer(second));
}

BOOST_AUTO_TEST_CASE(IsNotStartedByALateAcknowledgement)
{
    fleet.pause(backup);
    const auto reply = fleet.send(home, key);
    fleet.world.runFor(settleTime);
    fleet.resume(backup);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isNotRun(reply));
    BOOST_TEST(runs() == 0U);
}

BOOST_AUTO_TEST_CASE(IsAnsweredAfterTheSealWhenTheAnswerComesLater)
{
    setUpstreamBehaviour(UpstreamBehaviour::Hold);
    fleet.send(home, key);
    fleet.world.runFor(shortDelay);
    fleet.suspect(backup, home);
    const auto early = fleet.send(backup, key);
    fleet.world.runFor(shortDelay);
    fleet.node(home)->upstreams.release();
    fleet.world.runFor(shortDelay);
    const auto late = fleet.send(backup, key);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isUnknown(early));
    BOOST_TEST(isAnswer(late));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseHomeAndBackupKnowEachOtherFromTheFleetListOnly)

BOOST_AUTO_TEST_CASE(RunsWithABackupWhoseIncarnationWasFetched)
{
    fleet.crash(home);
    fleet.startWithEmptyView(home);
    fleet.removeFromView(backup, home);
    fleet.removeFromView(other, home);
    fleet.world.runFor(settleTime);
    const auto fresh = fleet.freshKey(home);
    BOOST_REQUIRE(fresh);
    const auto reply = fleet.send(other, *fresh);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isAnswer(reply));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfAServiceWithoutABackup)

BOOST_AUTO_TEST_CASE(RunsWithoutAnIntent)
{
    const auto reply = fleet.send(other, *fleet.freshKey(home, false), "hold");
    fleet.world.runFor(settleTime);
    BOOST_TEST(isAnswer(reply));
    BOOST_TEST(fleet.events.count("booking.intent") == 0U);
}

BOOST_AUTO_TEST_CASE(IsUnknownAndNeverNotRunWhenItsHomeRestarted)
{
    const auto keyWithoutBackup = *fleet.freshKey(home, false);
    fleet.send(home, keyWithoutBackup, "hold");
    fleet.world.runFor(shortDelay);
    fleet.crash(home);
    fleet.start(home);
    fleet.updateAllViews();
    const auto retry = fleet.send(home, keyWithoutBackup, "hold");
    fleet.world.runFor(settleTime);
    BOOST_TEST(isUnknown(retry));
}

BOOST_AUTO_TEST_CASE(HasAKeyThatAServiceWithABackupRefusesAsNotRun)
{
    const auto keyWithoutBackup = *fleet.freshKey(home, false);
    const auto reply = fleet.send(home, keyWithoutBackup);
    const auto later = fleet.send(home, keyWithoutBackup, "booking");
    fleet.world.runFor(settleTime);
    BOOST_TEST(isNotRun(reply));
    BOOST_TEST(isNotRun(later));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseHomeStopsAsPlanned)

BOOST_AUTO_TEST_CASE(IsFinishedAndItsAnswerSentToTheBackup)
{
    setUpstreamBehaviour(UpstreamBehaviour::Hold);
    const auto running = fleet.send(home, key);
    fleet.world.runFor(shortDelay);
    auto& system = fleet.node(home)->system;
    system.close();
    const auto late = fleet.send(other, { key.prefix, "late" });
    fleet.world.cut(Core::Address("10.0.0.1:1"), Core::Address("10.0.0." + std::to_string(backup + 1) + ":1"));
    fleet.node(home)->upstreams.release();
    fleet.world.runFor(settleTime);
    BOOST_TEST(isAnswer(running));
    BOOST_TEST(isNotRun(late));
    fleet.world.heal();
    auto isHandedOver = false;
    system.handOver([&] { isHandedOver = true; });
    fleet.world.runFor(shortDelay);
    BOOST_TEST(isHandedOver);
    fleet.crash(home);
    fleet.updateAllViews();
    const auto retry = fleet.send(other, key);
    fleet.world.runFor(settleTime);
    BOOST_TEST(isAnswer(retry));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
