#include "fakes.h"

#include <boost/test/unit_test.hpp>

using namespace FollowingTest;

namespace {

constexpr Core::Millis longestDelay { 800 };

struct Pace {
    [[nodiscard]] auto afterFailures(int count) -> Core::Duration
    {
        Core::Duration delay {};
        for (int failure = 0; failure < count; ++failure)
            delay = pace.delayAfterFailure(longestDelay, random);
        return delay;
    }

    SeededRandom random;
    StoreSync::ReadPace pace;
    const Core::Instant now { Core::Millis(5000) };
};

/// Store whose watches fail at once, each in a task of its own.
class WatchlessStore : public ScriptedStore {
public:
    WatchlessStore(TestSupport::VirtualTime& time, Core::ErrorKind kind)
        : m_time(time)
        , m_kind(kind)
    {
    }

    auto watch(const Ports::CollectionName& name, Ports::StoreRevision after, Core::Millis wait,
        ChangesCallback callback) -> std::shared_ptr<Ports::StoreCall> override
    {
        ++failedWatches;
        m_time.schedule(Core::Millis(1), [this, callback] { callback(Core::fail(m_kind, "no watch", "list again")); });
        return ScriptedStore::watch(name, after, wait, callback);
    }

    [[nodiscard]] auto calls() const -> int { return lists + failedWatches; }

    int failedWatches = 0;

private:
    TestSupport::VirtualTime& m_time;
    const Core::ErrorKind m_kind;
};

/// Follower of a store that lists and does not watch.
struct FruitlessReads {
    explicit FruitlessReads(Core::ErrorKind kind)
        : store(time, kind)
    {
        store.content = listOf({ "a" }, revisionOf(10, 1));
    }

    static constexpr Core::Millis observed { 10'000 };
    /// Lists that are due before the delays have grown, and those at the shortest of the longest delays. Each is
    /// followed by a watch.
    static constexpr int firstLists = 5;
    static constexpr int mostCalls = 2 * (firstLists + static_cast<int>(observed / (longestDelay / 2)));

    TestSupport::VirtualTime time;
    SeededRandom random;
    EventCounter events;
    WatchlessStore store;
    StoreSync::CollectionMirror mirror { time };
    NameListener listener;
    std::shared_ptr<StoreSync::CollectionFollower> follower
        = std::make_shared<StoreSync::CollectionFollower>(Ports::CollectionName("upstreams"), listener,
            StoreSync::CollectionFollower::Environment { time, store, time, random, events, mirror });
};

struct WithoutHistory : FruitlessReads {
    WithoutHistory()
        : FruitlessReads(Core::ErrorKind::Conflict)
    {
    }
};

struct WithoutWatches : FruitlessReads {
    WithoutWatches()
        : FruitlessReads(Core::ErrorKind::Unavailable)
    {
    }
};

/// Follower whose watches fail when the test says so.
struct ManualWatches {
    ManualWatches()
    {
        store.content = listOf({ "a" }, revisionOf(10, 1));
        follower->start();
    }

    auto failWatch() -> void
    {
        listsBefore = store.lists;
        const auto watch = store.watches.back();
        watch->callback(ScriptedStore::unavailable());
    }

    auto readFruitlessly() -> void
    {
        for (int failure = 0; failure < 6; ++failure) {
            failWatch();
            time.runFor(longestDelay);
        }
        // The last watch has waited for at most as long as the delay before it was short.
        failWatch();
        while (store.lists == listsBefore)
            time.runFor(Core::Millis(1));
    }

    TestSupport::VirtualTime time;
    SeededRandom random;
    NullEventSink events;
    ScriptedStore store;
    StoreSync::CollectionMirror mirror { time };
    NameListener listener;
    int listsBefore = 0;
    std::shared_ptr<StoreSync::CollectionFollower> follower
        = std::make_shared<StoreSync::CollectionFollower>(Ports::CollectionName("upstreams"), listener,
            StoreSync::CollectionFollower::Environment { time, store, time, random, events, mirror });
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ThePaceOfReads, Pace)

BOOST_AUTO_TEST_SUITE(AfterReadsThatFailed)

BOOST_AUTO_TEST_CASE(StartsWithAShortDelay)
{
    const auto delay = afterFailures(1);
    BOOST_TEST((delay >= Core::Millis(50)));
    BOOST_TEST((delay <= Core::Millis(100)));
}

BOOST_AUTO_TEST_CASE(DoublesItUpToTheLongestDelay)
{
    BOOST_TEST((afterFailures(2) >= Core::Millis(100)));
    BOOST_TEST((afterFailures(1) >= Core::Millis(200)));
    for (int failure = 0; failure < 100; ++failure) {
        const auto delay = afterFailures(1);
        BOOST_REQUIRE((delay >= longestDelay / 2));
        BOOST_REQUIRE((delay <= longestDelay));
    }
}

BOOST_AUTO_TEST_CASE(IsShortAgainAfterProgress)
{
    (void)afterFailures(10);
    pace.recordProgress();
    BOOST_TEST((afterFailures(1) <= Core::Millis(100)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AfterAnswersThatCannotBeBuiltOn)

BOOST_AUTO_TEST_CASE(HasNoDelayTheFirstTimeOnly)
{
    BOOST_TEST((pace.delayAfterUselessAnswer(longestDelay, random) == Core::Duration(0)));
    BOOST_TEST((pace.delayAfterUselessAnswer(longestDelay, random) >= Core::Millis(100)));
}

BOOST_AUTO_TEST_CASE(HasADelayIfAReadHasFailedBefore)
{
    (void)afterFailures(1);
    BOOST_TEST((pace.delayAfterUselessAnswer(longestDelay, random) >= Core::Millis(100)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AfterAWatch)

BOOST_AUTO_TEST_CASE(ThatWaitedForASecondHasNoDelay)
{
    (void)afterFailures(10);
    pace.recordWatchBegun(now);
    pace.recordWatchEnded(now + Core::Millis(1000));
    BOOST_TEST((pace.delayAfterUselessAnswer(longestDelay, random) == Core::Duration(0)));
}

BOOST_AUTO_TEST_CASE(ThatEndedSoonStaysSlow)
{
    (void)afterFailures(10);
    pace.recordWatchBegun(now);
    pace.recordWatchEnded(now + Core::Millis(999));
    BOOST_TEST((pace.delayAfterUselessAnswer(longestDelay, random) >= longestDelay / 2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AStoreWithoutHistory, WithoutHistory)

/// Incident of issue 45: an older list was dropped, and the watch went on from a lost revision without a pause.
BOOST_AUTO_TEST_CASE(ThatListsAnOldRevisionGetsABoundedNumberOfCalls)
{
    BOOST_REQUIRE(follower->applyIfNewer(listOf({ "a", "b" }, revisionOf(900, 1))));
    follower->start();
    time.runFor(observed);
    BOOST_TEST(store.calls() <= mostCalls);
    BOOST_TEST(store.lists > 5);
    BOOST_TEST(listener.names == (std::set<std::string> { "a", "b" }));
}

BOOST_AUTO_TEST_CASE(ThatOnlyEverSpeaksOfAnEarlierEraGetsABoundedNumberOfCalls)
{
    BOOST_REQUIRE(follower->applyIfNewer(listOf({ "b" }, revisionOf(3, 2))));
    follower->expectEra(Ports::StoreEra(2));
    follower->start();
    time.runFor(observed);
    BOOST_TEST(store.calls() <= mostCalls / 2);
    BOOST_TEST(store.failedWatches == 0);
    BOOST_TEST(listener.names == (std::set<std::string> { "b" }));
}

BOOST_AUTO_TEST_CASE(IsListedAtOnceTheFirstTime)
{
    follower->start();
    BOOST_TEST(store.lists == 1);
    time.runFor(Core::Millis(1));
    BOOST_TEST(store.lists == 2);
    time.runFor(Core::Millis(50));
    BOOST_TEST(store.lists == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AStoreWhoseWatchesFailAtOnce, WithoutWatches)

BOOST_AUTO_TEST_CASE(GetsABoundedNumberOfCallsThoughItsListsSucceed)
{
    follower->start();
    time.runFor(observed);
    BOOST_TEST(store.calls() <= mostCalls);
    BOOST_TEST(store.lists > 5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AWatchThatFailsAfterManyFruitlessReads, ManualWatches)

BOOST_AUTO_TEST_CASE(LeadsToAListSoonIfItHasWaitedForLong)
{
    readFruitlessly();
    time.runFor(Core::Millis(1000));
    failWatch();
    time.runFor(Core::Millis(100));
    BOOST_TEST(store.lists == listsBefore + 1);
}

BOOST_AUTO_TEST_CASE(LeadsToAListLateIfItHasNotWaited)
{
    readFruitlessly();
    failWatch();
    time.runFor(longestDelay / 2 - Core::Millis(1));
    BOOST_TEST(store.lists == listsBefore);
    time.runFor(longestDelay / 2 + Core::Millis(1));
    BOOST_TEST(store.lists == listsBefore + 1);
}

BOOST_AUTO_TEST_SUITE_END()
