#include "fakes.h"

#include <boost/test/unit_test.hpp>

using namespace FollowingTest;

namespace {

using Names = std::set<std::string>;

/// Follower of a collection at revision 100 of the store's first era.
struct FollowerAtRevision100 {
    FollowerAtRevision100()
    {
        store.content = listOf({ "a", "b", "c" }, revisionOf(100, 1));
        follower->start();
    }

    /// Lets the store come back from a copy: the watch that waited fails, and the next list is that of the copy.
    auto returnStore(const Names& names, std::uint64_t number, std::uint64_t era) -> void
    {
        store.content = listOf(names, revisionOf(number, era));
        answerWatch(Core::fail(Core::ErrorKind::Conflict, "the revision is unknown", "list again"));
        time.runFor(Core::Millis(1));
    }

    auto answerWatch(const Core::Result<Ports::CollectionChanges>& changes) -> void
    {
        const auto watch = store.watches.back();
        watch->callback(changes);
    }

    auto change(const std::string& name, std::uint64_t number, std::uint64_t era, bool isDeleted = false) -> void
    {
        answerWatch(Ports::CollectionChanges { { { item(name, number, era), isDeleted } }, revisionOf(number, era) });
    }

    /// Lets the collection be listed again within the same era.
    auto listAgain(const Names& names, std::uint64_t number, std::uint64_t era) -> void
    {
        store.content = listOf(names, revisionOf(number, era));
        follower->refresh();
    }

    TestSupport::VirtualTime time;
    SeededRandom random;
    EventCounter events;
    LateListStore store;
    StoreSync::CollectionMirror mirror { time };
    NameListener listener;
    bool isStoreReachable = true;
    const Core::Millis hold { 2000 };
    const Core::Millis batchingDelay { 500 };
    Ports::CollectionName name { "upstreams" };
    std::shared_ptr<StoreSync::CollectionFollower> follower
        = std::make_shared<StoreSync::CollectionFollower>(name, listener,
            StoreSync::CollectionFollower::Environment { time, store, time, random, events, mirror, batchingDelay,
                [] {}, [] {}, [] {}, [](Ports::StoreEra) {}, hold, [this] { return isStoreReachable; } });
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AStoreThatReturnsFromAnOlderCopy, FollowerAtRevision100)

BOOST_AUTO_TEST_SUITE(AndIsLearntOfFromAnotherVm)

/// A watch that the store had forgotten went on after a peer's copy of the later era, and nothing was read any more.
BOOST_AUTO_TEST_CASE(IsListedThoughAWatchOfTheEarlierEraWaits)
{
    BOOST_REQUIRE(follower->applyIfNewer(listOf({ "a", "d" }, revisionOf(40, 2))));
    store.content = listOf({ "a", "d", "e" }, revisionOf(41, 2));
    follower->expectEra(Ports::StoreEra(2));
    BOOST_TEST(listener.names.contains("e"));
    BOOST_TEST(store.watches.back()->after == revisionOf(41, 2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatGoesBackWithoutANewEra)

BOOST_AUTO_TEST_CASE(IsNotTakenForOneThatReportsChanges)
{
    BOOST_TEST(follower->isReading());
    returnStore({ "a", "d" }, 40, 1);
    BOOST_TEST(!follower->isReading());
    BOOST_TEST(follower->counts().unappliedLists == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AndIsListed)

BOOST_AUTO_TEST_CASE(IsFollowedFromItsLowerRevision)
{
    returnStore({ "a", "b", "c", "d" }, 40, 2);
    BOOST_TEST(listener.names.contains("d"));
    BOOST_TEST(store.watches.back()->after == revisionOf(40, 2));
    BOOST_TEST(mirror.revisions().at(name) == revisionOf(40, 2));
    BOOST_TEST(follower->counts().unappliedLists == 0U);
    change("e", 41, 2);
    BOOST_TEST(listener.names.contains("e"));
}

BOOST_AUTO_TEST_CASE(MayGiveOutTheSameRevisionWithOtherContents)
{
    returnStore({ "a", "b", "c", "other" }, 100, 2);
    BOOST_TEST(listener.names.contains("other"));
    BOOST_TEST(store.watches.back()->after == revisionOf(100, 2));
}

BOOST_AUTO_TEST_CASE(IsToldApartFromOneThatHasDroppedItsHistory)
{
    store.content = listOf({ "a", "d" }, revisionOf(130, 1));
    answerWatch(Core::fail(Core::ErrorKind::Conflict, "the history was dropped", "list again"));
    time.runFor(Core::Millis(1));
    BOOST_TEST(listener.names == (Names { "a", "d" }));
    BOOST_TEST(events.count("store.returned-older") == 0);
}

BOOST_AUTO_TEST_CASE(MayReturnASecondTime)
{
    returnStore({ "a", "b" }, 40, 2);
    returnStore({ "a", "z" }, 20, 3);
    // The second list in a row that a watch has led to comes a little later.
    time.runFor(Core::Millis(200));
    BOOST_TEST(listener.names == (Names { "a", "b", "c", "z" }));
    BOOST_TEST(store.watches.back()->after == revisionOf(20, 3));
    BOOST_TEST(events.count("store.returned-older") == 2);
    time.runFor(hold);
    BOOST_TEST(listener.names == (Names { "a", "z" }));
}

BOOST_AUTO_TEST_CASE(IsNotGivenUpForACopyOfTheEarlierEra)
{
    returnStore({ "a", "b", "c" }, 40, 2);
    BOOST_TEST(!follower->applyIfNewer(listOf({ "a", "lost" }, revisionOf(900, 1))));
    BOOST_TEST(!listener.names.contains("lost"));
    BOOST_TEST(follower->revision() == revisionOf(40, 2));
}

BOOST_AUTO_TEST_CASE(IsNotGivenUpForAListOfTheEarlierEra)
{
    returnStore({ "a", "b", "c" }, 40, 2);
    listAgain({ "a", "lost" }, 900, 1);
    BOOST_TEST(follower->counts().unappliedLists == 1U);
    BOOST_TEST(!listener.names.contains("lost"));
    BOOST_TEST(follower->revision() == revisionOf(40, 2));
}

BOOST_AUTO_TEST_CASE(DoesNotTakeChangesOfAPeerThatStillHasTheEarlierEra)
{
    returnStore({ "a", "b", "c" }, 100, 2);
    BOOST_TEST(!follower->applyChangesSince(
        { revisionOf(100, 1), { { { item("lost", 101, 1), false } }, revisionOf(101, 1) } }));
    BOOST_TEST(!listener.names.contains("lost"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhileAnAnswerIsUnderWay)

BOOST_AUTO_TEST_CASE(IsNotMistakenForTheListOfTheEarlierEra)
{
    store.isHoldingLists = true;
    follower->refresh();
    BOOST_REQUIRE(store.heldLists.size() == 1U);
    BOOST_REQUIRE(follower->applyIfNewer(listOf({ "a", "b", "c", "new" }, revisionOf(40, 2))));
    store.heldLists.front()(listOf({ "a", "lost" }, revisionOf(101, 1)));
    BOOST_TEST(!listener.names.contains("lost"));
    BOOST_TEST(listener.names.contains("new"));
    BOOST_TEST(mirror.revisions().at(name) == revisionOf(40, 2));
}

BOOST_AUTO_TEST_CASE(IsListedAgainWhenTheAnswerTurnsOutToBeOfTheEarlierEra)
{
    store.isHoldingLists = true;
    follower->refresh();
    follower->expectEra(Ports::StoreEra(2));
    BOOST_TEST(store.lists == 2);
    store.isHoldingLists = false;
    store.content = listOf({ "a", "b", "c", "new" }, revisionOf(40, 2));
    store.heldLists.front()(listOf({ "a", "lost" }, revisionOf(101, 1)));
    time.runFor(Core::Millis(1));
    BOOST_TEST(store.lists == 3);
    BOOST_TEST(!listener.names.contains("lost"));
    BOOST_TEST(listener.names.contains("new"));
}

BOOST_AUTO_TEST_CASE(DoesNotTakeTheChangesOfTheEarlierEra)
{
    const auto watch = store.watches.back();
    BOOST_REQUIRE(follower->applyIfNewer(listOf({ "a", "b", "c" }, revisionOf(40, 2))));
    watch->callback(Ports::CollectionChanges {
        { { item("a", 101, 1), true }, { item("lost", 102, 1), false } }, revisionOf(102, 1) });
    BOOST_TEST(listener.names == (Names { "a", "b", "c" }));
    BOOST_TEST(follower->revision() == revisionOf(40, 2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AndWhoseEraBecomesKnownFirst)

BOOST_AUTO_TEST_CASE(EndsTheWatchThatWaitsAndIsListedOnce)
{
    store.content = listOf({ "a", "b", "c", "d" }, revisionOf(40, 2));
    const auto watch = store.watches.back();
    follower->expectEra(Ports::StoreEra(2));
    BOOST_TEST(watch->isCancelled);
    BOOST_TEST(store.lists == 2);
    BOOST_TEST(store.watches.back()->after == revisionOf(40, 2));
    follower->expectEra(Ports::StoreEra(2));
    follower->expectEra(Ports::StoreEra(1));
    time.runFor(Core::Millis(1000));
    BOOST_TEST(store.lists == 2);
}

BOOST_AUTO_TEST_CASE(IsListedWithoutWaitingForTheBatchingDelay)
{
    change("d", 101, 1);
    store.content = listOf({ "a", "b", "c" }, revisionOf(40, 2));
    follower->expectEra(Ports::StoreEra(2));
    BOOST_TEST(store.lists == 2);
    const auto watches = store.watches.size();
    time.runFor(batchingDelay);
    BOOST_TEST(store.watches.size() == watches);
    BOOST_TEST(store.lists == 2);
}

BOOST_AUTO_TEST_CASE(IsNotListedASecondTimeWhileAListIsUnderWay)
{
    store.isHoldingLists = true;
    follower->refresh();
    follower->expectEra(Ports::StoreEra(2));
    BOOST_TEST(store.lists == 2);
    store.heldLists.front()(listOf({ "a", "b", "c", "d" }, revisionOf(40, 2)));
    BOOST_TEST(store.lists == 2);
    BOOST_TEST(listener.names.contains("d"));
}

BOOST_AUTO_TEST_CASE(IsNotListedWhileAnotherVmPassesItsChangesOn)
{
    follower->suspend();
    follower->expectEra(Ports::StoreEra(2));
    time.runFor(Core::Millis(5000));
    BOOST_TEST(store.lists == 1);
    BOOST_TEST(!follower->applyIfNewer(listOf({ "a", "lost" }, revisionOf(900, 1))));
    BOOST_TEST(!follower->applyChangesSince(
        { revisionOf(100, 1), { { { item("lost", 101, 1), false } }, revisionOf(101, 1) } }));
    BOOST_TEST(follower->applyIfNewer(listOf({ "a", "d" }, revisionOf(40, 2))));
}

BOOST_AUTO_TEST_CASE(IsNotListedAgainIfThatEraHasBeenRead)
{
    returnStore({ "a", "b", "c" }, 40, 2);
    const auto watch = store.watches.back();
    follower->expectEra(Ports::StoreEra(2));
    BOOST_TEST(store.lists == 2);
    BOOST_TEST(!watch->isCancelled);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AndLacksItems)

BOOST_AUTO_TEST_CASE(HasTwoSecondsForThemToBeWrittenAgain)
{
    returnStore({ "a" }, 40, 2);
    time.runFor(hold - Core::Millis(2));
    BOOST_TEST(listener.names == (Names { "a", "b", "c" }));
    time.runFor(Core::Millis(2));
    BOOST_TEST(listener.names == (Names { "a" }));
    BOOST_TEST(events.count("store.hold-ended") == 1);
}

BOOST_AUTO_TEST_CASE(KeepsThoseThatAreWrittenAgain)
{
    returnStore({ "a" }, 40, 2);
    time.runFor(hold / 2);
    change("b", 41, 2);
    time.runFor(hold);
    BOOST_TEST(listener.names == (Names { "a", "b" }));
}

BOOST_AUTO_TEST_CASE(LosesThoseThatAreDeletedAtOnce)
{
    returnStore({ "a" }, 40, 2);
    change("b", 41, 2, true);
    BOOST_TEST(listener.names == (Names { "a", "c" }));
    time.runFor(batchingDelay);
    change("a", 42, 2, true);
    BOOST_TEST(listener.names == (Names { "c" }));
}

BOOST_AUTO_TEST_CASE(KeepsThoseWrittenAndDeletedInTheHoldDeleted)
{
    returnStore({ "a" }, 40, 2);
    change("b", 41, 2);
    time.runFor(batchingDelay);
    change("b", 42, 2, true);
    BOOST_TEST(listener.names == (Names { "a", "c" }));
}

BOOST_AUTO_TEST_CASE(KeepsThemOverAFurtherList)
{
    returnStore({ "a", "d" }, 40, 2);
    time.runFor(hold / 2);
    listAgain({ "a", "b" }, 45, 2);
    // The store has dropped d meanwhile, has b again, and has not had c since.
    BOOST_TEST(listener.names == (Names { "a", "b", "c" }));
    time.runFor(hold / 2);
    BOOST_TEST(listener.names == (Names { "a", "b" }));
}

BOOST_AUTO_TEST_CASE(KeepsThemWhileItIsAwayAgain)
{
    returnStore({ "a" }, 40, 2);
    isStoreReachable = false;
    time.runFor(Core::Millis(30'000));
    BOOST_TEST(listener.names == (Names { "a", "b", "c" }));
    isStoreReachable = true;
    time.runFor(hold);
    BOOST_TEST(listener.names == (Names { "a" }));
}

BOOST_AUTO_TEST_CASE(ListsOnlyWhatItHasOnceTheHoldIsOver)
{
    returnStore({ "a" }, 40, 2);
    time.runFor(hold);
    listAgain({ "d" }, 50, 2);
    BOOST_TEST(listener.names == (Names { "d" }));
}

BOOST_AUTO_TEST_CASE(HasTheWholeTimeAgainAfterASecondReturn)
{
    returnStore({ "a", "b" }, 40, 2);
    time.runFor(hold - Core::Millis(500));
    returnStore({ "a" }, 30, 3);
    time.runFor(hold - Core::Millis(2));
    BOOST_TEST(listener.names.contains("b"));
    time.runFor(Core::Millis(2));
    BOOST_TEST(listener.names == (Names { "a" }));
}

BOOST_AUTO_TEST_CASE(KeepsThemIfThisVmStopsMeanwhile)
{
    returnStore({ "a" }, 40, 2);
    follower->stop();
    time.runFor(hold * 2);
    BOOST_TEST(listener.names == (Names { "a", "b", "c" }));
    BOOST_TEST(events.count("store.hold-ended") == 0);
}

BOOST_AUTO_TEST_CASE(IsRelayedAsItIsWithoutTheOnesThatAreHeld)
{
    returnStore({ "a" }, 40, 2);
    BOOST_TEST(mirror.itemNames(name) == (Names { "a" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AndIsSeenThroughAPeersCopy)

BOOST_AUTO_TEST_CASE(HoldsTheItemsThatTheCopyLacks)
{
    follower->suspend();
    BOOST_REQUIRE(follower->applyIfNewer(listOf({ "a" }, revisionOf(40, 2))));
    BOOST_TEST(listener.names == (Names { "a", "b", "c" }));
    BOOST_REQUIRE(
        follower->applyChangesSince({ revisionOf(40, 2), { { { item("b", 41, 2), false } }, revisionOf(41, 2) } }));
    time.runFor(hold);
    BOOST_TEST(listener.names == (Names { "a", "b" }));
}

BOOST_AUTO_TEST_CASE(HoldsThemOverAFurtherCopy)
{
    follower->suspend();
    BOOST_REQUIRE(follower->applyIfNewer(listOf({ "a", "d" }, revisionOf(40, 2))));
    BOOST_REQUIRE(follower->applyIfNewer(listOf({ "a", "b" }, revisionOf(45, 2))));
    BOOST_TEST(listener.names == (Names { "a", "b", "c" }));
    time.runFor(hold);
    BOOST_TEST(listener.names == (Names { "a", "b" }));
}

BOOST_AUTO_TEST_CASE(ReportsItsEra)
{
    std::vector<std::uint64_t> eras;
    StoreSync::CollectionFollower::Environment environment { time, store, time, random, events, mirror };
    environment.eraSeen = [&eras](Ports::StoreEra era) { eras.push_back(era.value()); };
    const auto other = std::make_shared<StoreSync::CollectionFollower>(name, listener, environment);
    BOOST_REQUIRE(other->applyIfNewer(listOf({ "a" }, revisionOf(40, 2))));
    BOOST_TEST(eras == (std::vector<std::uint64_t> { 2 }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AnAnswerToAWatchInALaterEra, FollowerAtRevision100)

BOOST_AUTO_TEST_CASE(LeadsToAListAtOnce)
{
    store.content = listOf({ "a", "d" }, revisionOf(40, 2));
    change("d", 40, 2);
    time.runFor(Core::Millis(1));
    BOOST_TEST(store.lists == 2);
    BOOST_TEST(store.watches.back()->after == revisionOf(40, 2));
}

BOOST_AUTO_TEST_CASE(IsNotAppliedToTheEarlierBase)
{
    store.isHoldingLists = true;
    answerWatch(
        Ports::CollectionChanges { { { item("a", 41, 2), true }, { item("d", 42, 2), false } }, revisionOf(42, 2) });
    BOOST_TEST(listener.names == (Names { "a", "b", "c" }));
    BOOST_TEST(follower->revision() == revisionOf(100, 1));
    BOOST_TEST(mirror.revisions().at(name) == revisionOf(100, 1));
}

BOOST_AUTO_TEST_CASE(LeavesTheItemsTimeToBeWrittenAgain)
{
    store.content = listOf({ "a" }, revisionOf(40, 2));
    answerWatch(Ports::CollectionChanges { {}, revisionOf(40, 2) });
    time.runFor(Core::Millis(1));
    BOOST_TEST(listener.names == (Names { "a", "b", "c" }));
    time.runFor(hold);
    BOOST_TEST(listener.names == (Names { "a" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheFirstListEver)

BOOST_FIXTURE_TEST_CASE(IsTakenAsItIsWhateverItsEra, FollowerAtRevision100)
{
    NameListener fresh;
    fresh.names = { "of an earlier start" };
    StoreSync::CollectionMirror freshMirror { time };
    store.content = listOf({ "a" }, revisionOf(7, 9));
    const auto first = std::make_shared<StoreSync::CollectionFollower>(
        name, fresh, StoreSync::CollectionFollower::Environment { time, store, time, random, events, freshMirror });
    first->start();
    BOOST_TEST(fresh.names == (Names { "a" }));
    BOOST_TEST(events.count("store.returned-older") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
