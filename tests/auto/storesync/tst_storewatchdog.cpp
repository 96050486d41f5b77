#include "fakes.h"

#include <boost/test/unit_test.hpp>

using namespace FollowingTest;

namespace {

/// Store whose pings a test completes.
class ManualPingStore : public ScriptedStore {
public:
    auto ping(DoneCallback callback) -> void override { pings.push_back(std::move(callback)); }

    std::vector<DoneCallback> pings;
};

class OutageCounter : public StoreSync::StoreListener {
public:
    auto storeLost() -> void override { ++lost; }
    auto storeRegained() -> void override { ++regained; }

    int lost = 0;
    int regained = 0;
};

struct WatchdogFixture {
    WatchdogFixture()
    {
        watchdog->start();
        time.runFor(Core::Millis(1000));
    }

    auto answerLast(const Core::Result<Ports::StoreRevision>& result) -> void { store.pings.back()(result); }

    TestSupport::VirtualTime time;
    SeededRandom random;
    NullEventSink events;
    ManualPingStore store;
    StoreSync::CollectionMirror mirror { time };
    OutageCounter outages;
    std::shared_ptr<StoreSync::StoreWatchdog> watchdog = std::make_shared<StoreSync::StoreWatchdog>(
        StoreSync::CollectionFollower::Environment { time, store, time, random, events, mirror }, outages);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AWatchdog, WatchdogFixture)

BOOST_AUTO_TEST_SUITE(OfAStoreThatBecomesUnreachable)

BOOST_AUTO_TEST_CASE(ReportsTheOutageOnce)
{
    answerLast(ScriptedStore::unavailable());
    time.runFor(Core::Millis(300));
    answerLast(ScriptedStore::unavailable());
    BOOST_TEST(outages.lost == 1);
    BOOST_TEST(!watchdog->isStoreReachable());
}

BOOST_AUTO_TEST_CASE(ReportsTheRecoveryAtTheFirstAnswerToAnyCall)
{
    answerLast(ScriptedStore::unavailable());
    watchdog->recordResponse();
    BOOST_TEST(outages.regained == 1);
    BOOST_TEST(watchdog->isStoreReachable());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhosePingIsLost)

BOOST_AUTO_TEST_CASE(ReportsNoOutageIfAnotherCallWasAnsweredSince)
{
    time.runFor(Core::Millis(500));
    watchdog->recordResponse();
    answerLast(ScriptedStore::unavailable());
    BOOST_TEST(outages.lost == 0);
    BOOST_TEST(watchdog->isStoreReachable());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
