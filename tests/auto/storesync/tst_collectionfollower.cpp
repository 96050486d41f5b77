#include "fakes.h"

#include <boost/test/unit_test.hpp>

using namespace FollowingTest;

namespace {

struct FollowedCollection {
    FollowedCollection()
    {
        store.content = { { item("a", 1), item("b", 2) }, Ports::StoreRevision(2) };
        follower->start();
    }

    auto answerWatch(const Core::Result<Ports::CollectionChanges>& changes) -> void
    {
        const auto watch = store.watches.back();
        watch->callback(changes);
    }

    TestSupport::VirtualTime time;
    SeededRandom random;
    NullEventSink events;
    ScriptedStore store;
    StoreSync::CollectionMirror mirror { time };
    NameListener listener;
    Ports::CollectionName name { "upstreams" };
    std::shared_ptr<StoreSync::CollectionFollower> follower = std::make_shared<StoreSync::CollectionFollower>(
        name, listener, StoreSync::CollectionFollower::Environment { time, store, time, random, events, mirror });
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AFollower, FollowedCollection)

BOOST_AUTO_TEST_SUITE(OfAReachableStore)

BOOST_AUTO_TEST_CASE(ListsTheCollectionAndWatchesFromItsRevision)
{
    BOOST_TEST(listener.names == (std::set<std::string> { "a", "b" }));
    BOOST_REQUIRE(store.watches.size() == 1U);
    BOOST_TEST((store.watches[0]->after == Ports::StoreRevision(2)));
}

BOOST_AUTO_TEST_CASE(AppliesChangesAndWatchesFromTheirRevision)
{
    answerWatch(
        Ports::CollectionChanges { { { item("a", 5), true }, { item("c", 6), false } }, Ports::StoreRevision(6) });
    BOOST_TEST(listener.names == (std::set<std::string> { "b", "c" }));
    time.runFor(Core::Millis(500));
    BOOST_REQUIRE(store.watches.size() == 2U);
    BOOST_TEST((store.watches[1]->after == Ports::StoreRevision(6)));
    BOOST_TEST(store.lists == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfACollectionThatChangesAllTheTime)

BOOST_AUTO_TEST_CASE(ReadsTheChangesOfEachDelayTogether)
{
    constexpr Core::Millis delay { 800 };
    const auto patient = std::make_shared<StoreSync::CollectionFollower>(name, listener,
        StoreSync::CollectionFollower::Environment { time, store, time, random, events, mirror, delay });
    store.watches.clear();
    patient->start();
    constexpr int answers = 5;
    for (std::uint64_t answer = 1; answer <= answers; ++answer) {
        BOOST_REQUIRE(store.watches.size() == answer);
        answerWatch(
            Ports::CollectionChanges { { { item("c", answer + 2), false } }, Ports::StoreRevision(answer + 2) });
        time.runFor(delay - Core::Millis(1));
        BOOST_TEST(store.watches.size() == answer);
        time.runFor(Core::Millis(1));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseWatchEndsWithoutAnAnswer)

BOOST_AUTO_TEST_CASE(ListsAgainInsteadOfWatchingFromAnOldRevision)
{
    // A store that aborted its watches may have dropped later changes, and a watch from an old revision would wait.
    answerWatch(ScriptedStore::unavailable());
    store.content = { { item("b", 2), item("new", 9) }, Ports::StoreRevision(9) };
    time.runFor(Core::Millis(500));
    BOOST_TEST(store.lists == 2);
    BOOST_TEST(listener.names == (std::set<std::string> { "b", "new" }));
}

BOOST_AUTO_TEST_CASE(KeepsRetryingDuringAnOutage)
{
    store.isUnavailable = true;
    answerWatch(ScriptedStore::unavailable());
    time.runFor(Core::Millis(10'000));
    BOOST_TEST(listener.names.size() == 2U);
    BOOST_TEST(store.lists > 5);
    BOOST_TEST(store.lists < 40);
    store.isUnavailable = false;
    store.content.items.push_back(item("c", 3));
    time.runFor(Core::Millis(1000));
    BOOST_TEST(listener.names.contains("c"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseHistoryIsDropped)

BOOST_AUTO_TEST_CASE(ListsAtOnce)
{
    store.content = { { item("z", 30) }, Ports::StoreRevision(30) };
    answerWatch(Core::fail(Core::ErrorKind::Conflict, "the history was dropped", "list again"));
    time.runFor(Core::Millis(1));
    BOOST_TEST(listener.names == (std::set<std::string> { "z" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatReceivesAPeersCopy)

BOOST_AUTO_TEST_CASE(AppliesANewerOne)
{
    BOOST_TEST(follower->applyIfNewer({ { item("n", 8) }, Ports::StoreRevision(8) }));
    BOOST_TEST(listener.names == (std::set<std::string> { "n" }));
}

/// Incident DRAIN, GONE: a late answer brought back upstreams that a newer copy had shown to be leaving.
BOOST_AUTO_TEST_CASE(IgnoresAnOlderWatchThatIsAnsweredAfterwards)
{
    follower->applyIfNewer({ { item("a", 1), item("n", 8) }, Ports::StoreRevision(8) });
    answerWatch(
        Ports::CollectionChanges { { { item("b", 4), false }, { item("a", 5), true } }, Ports::StoreRevision(5) });
    BOOST_TEST(listener.names == (std::set<std::string> { "a", "n" }));
    BOOST_TEST((mirror.revisions().at(name) == Ports::StoreRevision(8)));
    time.runFor(Core::Millis(500));
    BOOST_REQUIRE(store.watches.size() == 2U);
    BOOST_TEST((store.watches.back()->after == Ports::StoreRevision(8)));
    answerWatch(Ports::CollectionChanges { { { item("a", 9), true } }, Ports::StoreRevision(9) });
    BOOST_TEST(listener.names == (std::set<std::string> { "n" }));
}

BOOST_AUTO_TEST_CASE(IgnoresAnOlderListThatIsAnsweredAfterwards)
{
    answerWatch(ScriptedStore::unavailable());
    follower->applyIfNewer({ { item("n", 8) }, Ports::StoreRevision(8) });
    time.runFor(Core::Millis(500));
    BOOST_TEST(store.lists == 2);
    BOOST_TEST(listener.names == (std::set<std::string> { "n" }));
    BOOST_TEST((mirror.revisions().at(name) == Ports::StoreRevision(8)));
    BOOST_TEST((store.watches.back()->after == Ports::StoreRevision(8)));
}

/// A VM that had slept passed on all changes of its sleep, and an upstream that had left was used again.
BOOST_AUTO_TEST_CASE(DoesNotBringBackWhatItsChangesRemoveAgain)
{
    follower->applyChangesSince({ Ports::StoreRevision(2),
        { { { item("gone", 3), false }, { item("c", 4), false }, { item("gone", 5), true } },
            Ports::StoreRevision(5) } });
    BOOST_TEST(listener.names == (std::set<std::string> { "a", "b", "c" }));
    BOOST_TEST(!listener.everUpserted.contains("gone"));
}

BOOST_AUTO_TEST_CASE(NeverReturnsToAnOlderRevision)
{
    BOOST_TEST(!follower->applyIfNewer({ { item("old", 1) }, Ports::StoreRevision(1) }));
    BOOST_TEST(!follower->applyIfNewer({ { item("same", 2) }, Ports::StoreRevision(2) }));
    BOOST_TEST(listener.names == (std::set<std::string> { "a", "b" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
