#include "fakes.h"

#include <boost/test/unit_test.hpp>

using namespace FollowingTest;

namespace {

/// Answers each fetch from a mirror that the test fills.
class PeerEntryVm : public StoreSync::MirrorPort {
public:
    auto fetch(const Core::Address& peer, const StoreSync::KnownRevisions& known, Callback callback) -> void override
    {
        queriedPeers.push_back(peer);
        callback(StoreSync::MirrorResponse { isStoreReachable, mirror.newerThan(known) });
    }

    StoreSync::CollectionMirror mirror;
    bool isStoreReachable = true;
    std::vector<Core::Address> queriedPeers;
};

struct VmWithoutStoreAccess : StoreSync::StoreListener {
    VmWithoutStoreAccess()
    {
        store.content = { { item("a", 2) }, Ports::StoreRevision(2) };
        follower->start();
        refresh->add(name, follower);
        watchdog->add(follower);
        watchdog->start();
        store.isUnavailable = true;
        time.runFor(Core::Millis(2000));
    }

    auto storeLost() -> void override
    {
        isLost = true;
        refresh->start();
    }
    auto storeRegained() -> void override
    {
        isLost = false;
        refresh->stop();
    }

    TestSupport::VirtualTime time;
    SeededRandom random;
    NullEventSink events;
    ScriptedStore store;
    StoreSync::CollectionMirror mirror;
    NameListener listener;
    PeerEntryVm other;
    bool isLost = false;
    int refreshes = 0;
    Ports::CollectionName name { "evacuations" };
    StoreSync::CollectionFollower::Environment environment { time, store, time, random, events, mirror };
    std::shared_ptr<StoreSync::CollectionFollower> follower
        = std::make_shared<StoreSync::CollectionFollower>(name, listener, environment);
    std::shared_ptr<StoreSync::StoreWatchdog> watchdog = std::make_shared<StoreSync::StoreWatchdog>(environment, *this);
    std::shared_ptr<StoreSync::PeerRefresh> refresh
        = std::make_shared<StoreSync::PeerRefresh>(StoreSync::PeerRefresh::Environment { environment, other, mirror,
            [] {
                return std::vector { Core::Address("10.0.0.1:1"), Core::Address("10.0.0.2:1") };
            },
            [this] { ++refreshes; } });
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AVmWithoutStoreAccess, VmWithoutStoreAccess)

BOOST_AUTO_TEST_CASE(AppliesNewerCopiesOfAPeer)
{
    BOOST_TEST(isLost);
    other.mirror.replaceAll(name, { { item("atl-b", 7) }, Ports::StoreRevision(7) });
    time.runFor(Core::Millis(500));
    BOOST_TEST(listener.names == (std::set<std::string> { "atl-b" }));
    BOOST_TEST(refreshes > 0);
}

BOOST_AUTO_TEST_CASE(IgnoresOlderCopies)
{
    other.mirror.replaceAll(name, { { item("old", 1) }, Ports::StoreRevision(1) });
    time.runFor(Core::Millis(3000));
    BOOST_TEST(listener.names == (std::set<std::string> { "a" }));
}

BOOST_AUTO_TEST_CASE(QueriesItsPeersInTurn)
{
    time.runFor(Core::Millis(3000));
    BOOST_TEST((std::set<Core::Address>(other.queriedPeers.begin(), other.queriedPeers.end()).size() == 2U));
}

BOOST_AUTO_TEST_CASE(DoesNotReportARefreshFromAPeerWithoutStoreAccess)
{
    refreshes = 0;
    other.isStoreReachable = false;
    time.runFor(Core::Millis(3000));
    BOOST_TEST(refreshes == 0);
}

BOOST_AUTO_TEST_CASE(StopsQueryingPeersOnceTheStoreIsReachable)
{
    store.isUnavailable = false;
    store.content = { { item("b", 9) }, Ports::StoreRevision(9) };
    time.runFor(Core::Millis(2000));
    BOOST_TEST(!isLost);
    BOOST_TEST(listener.names == (std::set<std::string> { "b" }));
    const auto before = other.queriedPeers.size();
    time.runFor(Core::Millis(5000));
    BOOST_TEST(other.queriedPeers.size() == before);
}

BOOST_AUTO_TEST_SUITE_END()
