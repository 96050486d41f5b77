#include "platform/sitefixture.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>

namespace {

using PlatformTest::holdsWithin;
using PlatformTest::ObjectStandIn;
using PlatformTest::SiteFixture;
using Clock = std::chrono::steady_clock;

/// The platform's stated bounds.
constexpr Core::Millis configBound { 2500 };
constexpr Core::Millis drainBound { 2500 };
/// Time after the store's return within which upstreams write their entries again.
constexpr Core::Millis rewriteTime { 1800 };
constexpr Core::Millis outageTime { 1000 };
constexpr Core::Millis settlingTime { 300 };
constexpr int fewRevisions = 60;
constexpr int manyRevisions = 500;
constexpr int upstreams = 3;
constexpr int entryVms = 2;

/// What callers saw who asked both VMs in turn.
struct Replies {
    int others = 0;
    int successes = 0;
};

/// A site whose store has a copy of itself that is older than what is written later.
struct OlderCopyFixture : SiteFixture {
    OlderCopyFixture() { objects().keepCopy(); }

    auto objects() -> ObjectStandIn& { return site.objects(); }

    auto publish(const std::string& prefix) -> void { site.configure(++version, prefix); }

    auto status(int vm, const std::string& target) -> int
    {
        return statusOf(vm, "c-" + std::to_string(++requests), target);
    }

    auto isInForceWithin(Core::Millis limit, int vm, const std::string& prefix) -> bool
    {
        const auto begin = Clock::now();
        const bool isInForce = holdsWithin(limit, [&] { return status(vm, prefix + '7') == 200; });
        const auto time = std::chrono::duration_cast<Core::Millis>(Clock::now() - begin);
        BOOST_TEST_MESSAGE("VM " << vm << (isInForce ? " serves " : " does not serve ") << prefix << " after "
                                 << time.count() << " ms");
        return isInForce;
    }

    auto checkInForceOnBoth(const std::string& prefix) -> void
    {
        const auto limit = Clock::now() + configBound;
        for (int vm = 0; vm < entryVms; ++vm) {
            const auto left = std::chrono::duration_cast<Core::Millis>(limit - Clock::now());
            BOOST_TEST(isInForceWithin(left, vm, prefix), "VM " << vm << " does not serve " << prefix);
        }
    }

    /// Writes that many revisions, the entries of the upstreams and a route from /lost/ last, which both VMs take up.
    auto writeWhatWillBeLost(int revisions) -> void
    {
        const auto last = objects().revision() + static_cast<std::uint64_t>(revisions);
        while (objects().revision() + upstreams + 1 < last)
            objects().put("notes", "note", { { "text", objects().revision() } });
        writeUpstreams();
        publish("/lost/");
        for (int vm = 0; vm < entryVms; ++vm)
            BOOST_REQUIRE(isInForceWithin(configBound, vm, "/lost/"));
        std::this_thread::sleep_for(settlingTime);
    }

    auto writeUpstreams(int exceptFor = -1) -> void
    {
        for (int upstream = 0; upstream < upstreams; ++upstream) {
            if (upstream != exceptFor)
                site.registerUpstream(upstream);
        }
    }

    auto goAwayAndReturnFromCopy() -> void
    {
        objects().setUnavailable(true);
        std::this_thread::sleep_for(outageTime);
        objects().returnToCopy();
        objects().setUnavailable(false);
    }

    auto drill(int lostRevisions) -> void
    {
        writeWhatWillBeLost(lostRevisions);
        goAwayAndReturnFromCopy();
        writeUpstreams();
    }

    auto runsAt(int upstream) -> std::size_t { return site.upstream(upstream).runs().size(); }

    /// Returns the upstream that most of the requests go to.
    auto preferredUpstream() -> int
    {
        for (int request = 0; request < 3 * entryVms; ++request)
            status(request % entryVms, "/prices/7");
        int preferred = 0;
        for (int upstream = 1; upstream < upstreams; ++upstream) {
            if (runsAt(upstream) > runsAt(preferred))
                preferred = upstream;
        }
        return preferred;
    }

    /// Asks the VMs from the given one on in turn.
    auto askFor(Core::Millis time, int firstVm = 0) -> Replies
    {
        Replies replies;
        const auto limit = Clock::now() + time;
        for (int request = 0; Clock::now() < limit; ++request) {
            const auto vm = firstVm + request % (entryVms - firstVm);
            ++(status(vm, "/prices/7") == 200 ? replies.successes : replies.others);
        }
        return replies;
    }

    auto checkNothingIsSentTo(int upstream, Core::Millis time, int firstVm = 0) -> void
    {
        const auto before = runsAt(upstream);
        const auto replies = askFor(time, firstVm);
        BOOST_TEST(replies.successes > 0);
        BOOST_TEST(replies.others == 0);
        BOOST_TEST(runsAt(upstream) - before == 0U, runsAt(upstream) - before << " of " << replies.successes);
    }

    /// Checks that the second VM follows the configuration and an upstream that leaves, and goes on doing so.
    auto checkTheSecondFollows() -> void
    {
        BOOST_TEST(isInForceWithin(configBound, 1, "/audit/"));
        const int leaving = preferredUpstream();
        site.registerUpstream(leaving, "draining");
        std::this_thread::sleep_for(drainBound);
        checkNothingIsSentTo(leaving, settlingTime, 1);
        BOOST_TEST(status(1, "/audit/7") == 200);
    }

    auto restartTheSecond(int signal) -> void
    {
        site.process(1).signal(signal);
        site.process(1).wait();
        site.startEntryVm(1);
    }

    /// Ends an outage with the older copy; upstreams and operator write at once.
    auto comeBackAndWrite(const std::string& prefix) -> void
    {
        objects().returnToCopy();
        objects().setUnavailable(false);
        writeUpstreams();
        publish(prefix);
    }

    std::uint64_t version = 3;
    std::atomic<int> requests { 0 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryVmsOnThePlatform, OlderCopyFixture)

BOOST_AUTO_TEST_SUITE(WhenTheStoreReturnsFromAnOlderCopy)

BOOST_AUTO_TEST_SUITE(ThatLacksNothing)

BOOST_AUTO_TEST_CASE(FollowWhatIsWrittenAfterwards)
{
    writeWhatWillBeLost(fewRevisions);
    objects().keepCopy();
    goAwayAndReturnFromCopy();
    publish("/audit/");
    checkInForceOnBoth("/audit/");
    const int leaving = preferredUpstream();
    site.registerUpstream(leaving, "draining");
    std::this_thread::sleep_for(drainBound);
    checkNothingIsSentTo(leaving, Core::Millis(500));
}

BOOST_AUTO_TEST_CASE(PutAConfigurationInForceOnBothWhenItTurnsOneAway)
{
    writeWhatWillBeLost(fewRevisions);
    objects().keepCopy();
    site.storeDoor(1).setTurningAway(true);
    goAwayAndReturnFromCopy();
    publish("/audit/");
    checkInForceOnBoth("/audit/");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AndTheOperatorWrites)

BOOST_AUTO_TEST_CASE(PutAConfigurationWrittenAfterwardsInForceWithinTwoAndAHalfSeconds)
{
    drill(fewRevisions);
    publish("/audit/");
    checkInForceOnBoth("/audit/");
}

BOOST_AUTO_TEST_CASE(TellOperatorsOfTheNewEra)
{
    BOOST_TEST(site.metrics(0).find("dragonflywinch_store_era 1\n") != std::string::npos);
    drill(fewRevisions);
    publish("/audit/");
    checkInForceOnBoth("/audit/");
    for (int vm = 0; vm < entryVms; ++vm) {
        const auto isTold = holdsWithin(
            configBound, [&] { return site.metrics(vm).find("dragonflywinch_store_era 2\n") != std::string::npos; });
        BOOST_TEST(isTold, site.metrics(vm));
    }
}

BOOST_AUTO_TEST_CASE(PutAConfigurationWrittenAfterwardsInForceWhenFiveHundredRevisionsAreLost)
{
    drill(manyRevisions);
    publish("/audit/");
    checkInForceOnBoth("/audit/");
}

BOOST_AUTO_TEST_CASE(KeepTheConfigurationInForceUntilItIsWrittenAgain)
{
    drill(fewRevisions);
    const auto limit = Clock::now() + Core::Millis(2000);
    for (int request = 0; Clock::now() < limit; ++request)
        BOOST_REQUIRE(status(request % entryVms, "/lost/7") == 200);
    publish("/audit/");
    checkInForceOnBoth("/audit/");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AndUpstreamsComeAndGo)

BOOST_AUTO_TEST_CASE(SendNothingToAnUpstreamThatLeavesAfterwards)
{
    drill(fewRevisions);
    const int leaving = preferredUpstream();
    site.registerUpstream(leaving, "draining");
    std::this_thread::sleep_for(drainBound);
    checkNothingIsSentTo(leaving, Core::Millis(1000));
}

BOOST_AUTO_TEST_CASE(SendNothingToAnUpstreamThatHadLeftBefore)
{
    writeWhatWillBeLost(fewRevisions);
    const int leaving = preferredUpstream();
    site.registerUpstream(leaving, "draining");
    std::this_thread::sleep_for(drainBound);
    checkNothingIsSentTo(leaving, Core::Millis(200));
    goAwayAndReturnFromCopy();
    writeUpstreams(leaving);
    checkNothingIsSentTo(leaving, Core::Millis(2000));
    site.registerUpstream(leaving, "draining");
    checkNothingIsSentTo(leaving, Core::Millis(1000));
}

BOOST_AUTO_TEST_CASE(KeepUsingAnUpstreamThatTheCopyLacks)
{
    const int lacking = preferredUpstream();
    objects().remove("servers", "i-" + std::to_string(lacking));
    std::this_thread::sleep_for(drainBound);
    checkNothingIsSentTo(lacking, Core::Millis(200));
    objects().keepCopy();
    writeWhatWillBeLost(fewRevisions);
    const auto before = runsAt(lacking);
    BOOST_REQUIRE(holdsWithin(Core::Millis(5000), [&] {
        status(0, "/prices/7");
        return runsAt(lacking) > before;
    }));
    goAwayAndReturnFromCopy();
    writeUpstreams(lacking);
    BOOST_TEST(askFor(settlingTime).others == 0);
    const auto afterReturn = runsAt(lacking);
    BOOST_TEST(askFor(rewriteTime - settlingTime).others == 0);
    BOOST_TEST(runsAt(lacking) > afterReturn);
    site.registerUpstream(lacking);
    BOOST_TEST(askFor(settlingTime).others == 0);
    const auto afterRewriting = runsAt(lacking);
    BOOST_TEST(askFor(Core::Millis(1000)).others == 0);
    BOOST_TEST(runsAt(lacking) > afterRewriting);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AndNothingElseHappens)

BOOST_AUTO_TEST_CASE(DoNotCallTheStoreWithoutAPause)
{
    constexpr std::size_t mostCalls = 100;
    drill(fewRevisions);
    const auto before = objects().calls();
    std::this_thread::sleep_for(std::chrono::seconds(5));
    const auto after = objects().calls();
    const auto lists = after.lists - before.lists;
    const auto watches = after.watches - before.watches;
    BOOST_TEST_MESSAGE(lists << " lists and " << watches << " watches");
    BOOST_TEST(lists + watches < mostCalls, lists << " lists and " << watches << " watches");
}

BOOST_AUTO_TEST_CASE(ServeRequestsMeanwhile)
{
    writeWhatWillBeLost(fewRevisions);
    auto callers = std::async(std::launch::async, [this] { return askFor(outageTime + Core::Millis(2500)); });
    goAwayAndReturnFromCopy();
    writeUpstreams();
    const auto replies = callers.get();
    BOOST_TEST(replies.successes > 0);
    BOOST_TEST(replies.others == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithoutHavingBeenAway)

BOOST_AUTO_TEST_CASE(PutAConfigurationWrittenAfterwardsInForceWhenTheirWatchesAreEnded)
{
    writeWhatWillBeLost(fewRevisions);
    objects().returnToCopy(ObjectStandIn::PendingWatches::Gone);
    publish("/audit/");
    checkInForceOnBoth("/audit/");
}

BOOST_AUTO_TEST_CASE(PutAConfigurationWrittenAfterwardsInForceWhenTheirWatchesAreNeverAnswered)
{
    writeWhatWillBeLost(fewRevisions);
    objects().returnToCopy(ObjectStandIn::PendingWatches::Left);
    publish("/audit/");
    checkInForceOnBoth("/audit/");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItHappensTwice)

BOOST_AUTO_TEST_CASE(PutTheLastConfigurationInForce)
{
    drill(fewRevisions);
    std::this_thread::sleep_for(settlingTime);
    objects().keepCopy();
    publish("/between/");
    std::this_thread::sleep_for(settlingTime);
    goAwayAndReturnFromCopy();
    writeUpstreams();
    publish("/audit/");
    BOOST_TEST(objects().era() == 3U);
    checkInForceOnBoth("/audit/");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenOneRestartsDuringTheDrill)

BOOST_AUTO_TEST_CASE(FollowOnItWhatIsWrittenAfterwards)
{
    writeWhatWillBeLost(fewRevisions);
    objects().setUnavailable(true);
    restartTheSecond(SIGKILL);
    std::this_thread::sleep_for(outageTime);
    comeBackAndWrite("/audit/");
    site.waitUntilReady(1);
    checkTheSecondFollows();
}

BOOST_AUTO_TEST_CASE(FollowOnItWhatIsWrittenAfterItHasLearntFromTheOther)
{
    writeWhatWillBeLost(fewRevisions);
    objects().setUnavailable(true);
    restartTheSecond(SIGKILL);
    site.waitUntilReady(1);
    BOOST_REQUIRE(isInForceWithin(Core::Millis(5000), 1, "/lost/"));
    comeBackAndWrite("/audit/");
    checkTheSecondFollows();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenOneRestartsAfterTheDrill)

BOOST_AUTO_TEST_CASE(FollowOnItWhatIsWrittenAfterwards)
{
    drill(fewRevisions);
    publish("/audit/");
    restartTheSecond(SIGTERM);
    site.waitUntilReady(1);
    checkTheSecondFollows();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItTurnsOneAwayMeanwhile)

BOOST_AUTO_TEST_CASE(PutAConfigurationWrittenAfterwardsInForceOnBoth)
{
    writeWhatWillBeLost(fewRevisions);
    site.storeDoor(1).setTurningAway(true);
    goAwayAndReturnFromCopy();
    writeUpstreams();
    publish("/audit/");
    checkInForceOnBoth("/audit/");
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    site.storeDoor(1).setTurningAway(false);
    publish("/orders/");
    checkInForceOnBoth("/orders/");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
