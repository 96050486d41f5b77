#include "fakes.h"

#include <boost/test/unit_test.hpp>

using namespace FollowingTest;

namespace {

/// Answers each poll from a mirror that the test fills.
class PeerEntryVms : public StoreSync::MirrorPort {
public:
    explicit PeerEntryVms(const Ports::Clock& clock)
        : mirror(clock)
    {
    }

    auto poll(const Core::Address& peer, const StoreSync::MirrorPoll& poll, Callback callback) -> void override
    {
        queriedPeers.push_back(peer);
        if (silent.contains(peer))
            callback(Core::fail(Core::ErrorKind::Timeout, "no answer", "ask another entry VM"));
        else if (outdated.contains(peer))
            callback(StoreSync::MirrorResponse { { false, age }, mirror.newsSince(poll.known) });
        else
            callback(StoreSync::MirrorResponse { { isStoreReachable, age, hops }, mirror.newsSince(poll.known) });
    }

    StoreSync::CollectionMirror mirror;
    bool isStoreReachable = true;
    Core::Duration age {};
    std::uint32_t hops = 0;
    std::set<Core::Address> silent;
    std::set<Core::Address> outdated;
    std::vector<Core::Address> queriedPeers;
};

auto peerAddress(std::size_t index) -> Core::Address { return Core::Address("10.0.0." + std::to_string(index) + ":1"); }

/// Region whose first entry VMs are to read the store. The VM of the test has the given place.
class FixedView : public StoreSync::SourceView {
public:
    [[nodiscard]] auto ranking() const -> std::vector<StoreSync::SourceCandidate> override
    {
        return firstCandidates(size);
    }
    [[nodiscard]] auto knownPeers() const -> std::vector<Core::Address> override
    {
        return { peerAddress(0), peerAddress(1) };
    }
    [[nodiscard]] auto knownRanking() const -> std::vector<StoreSync::SourceCandidate> override
    {
        return firstCandidates(listed);
    }

    std::size_t size = 0;
    std::size_t listed = 0;
    std::size_t ownPlace = 20;

private:
    [[nodiscard]] auto firstCandidates(std::size_t count) const -> std::vector<StoreSync::SourceCandidate>
    {
        std::vector<StoreSync::SourceCandidate> candidates;
        for (std::size_t index = 0; index < count; ++index)
            candidates.push_back({ peerAddress(index), index == ownPlace, false });
        return candidates;
    }
};

struct VmOfRegion : StoreSync::StoreListener {
    explicit VmOfRegion(std::size_t watchers)
        : reads(std::make_shared<StoreSync::SharedReads>(
            StoreSync::SharedReads::Environment { environment, peers, mirror, *watchdog, view, fleetName, watchers,
                [this] { ++refreshes; }, [this](bool isSourceLost) { isLostBySource = isSourceLost; } }))
    {
        store.content = { { item("a", 2) }, Ports::StoreRevision(2) };
        peers.mirror.replaceAll(name, store.content);
        reads->add(name, follower);
        watchdog->add(follower);
    }

    auto start() -> void
    {
        watchdog->start();
        reads->start();
        reads->handleRegistration(true);
    }

    auto storeLost() -> void override
    {
        isLost = true;
        reads->wake();
    }
    auto storeRegained() -> void override { isLost = false; }

    TestSupport::VirtualTime time;
    SeededRandom random;
    NullEventSink events;
    ScriptedStore store;
    StoreSync::CollectionMirror mirror { time };
    NameListener listener;
    PeerEntryVms peers { time };
    FixedView view;
    bool isLost = false;
    bool isLostBySource = false;
    int refreshes = 0;
    Ports::CollectionName name { "evacuations" };
    Ports::CollectionName fleetName { "entryvms" };
    StoreSync::CollectionFollower::Environment environment { time, store, time, random, events, mirror };
    std::shared_ptr<StoreSync::CollectionFollower> follower
        = std::make_shared<StoreSync::CollectionFollower>(name, listener, environment);
    std::shared_ptr<StoreSync::StoreWatchdog> watchdog = std::make_shared<StoreSync::StoreWatchdog>(environment, *this);
    std::shared_ptr<StoreSync::SharedReads> reads;
};

struct VmWithoutStoreAccess : VmOfRegion {
    VmWithoutStoreAccess()
        : VmOfRegion(0)
    {
        start();
        store.isUnavailable = true;
        time.runFor(Core::Millis(2000));
    }
};

struct VmOfLargeRegion : VmOfRegion {
    VmOfLargeRegion()
        : VmOfRegion(2)
    {
        view.size = 40;
        view.listed = 40;
    }

    /// Number of lists of the followed collection: the first list of a start is that of the entry VMs.
    [[nodiscard]] auto lists() const -> int { return store.lists - 1; }

    auto startAndSettle() -> void
    {
        start();
        time.runFor(Core::Millis(300));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AVmWithoutStoreAccess, VmWithoutStoreAccess)

BOOST_AUTO_TEST_CASE(HasCurrentCopiesAsLongAsAPeerDoes)
{
    BOOST_TEST(reads->isCurrent());
    peers.outdated = { peerAddress(0), peerAddress(1) };
    time.runFor(Core::Millis(2000));
    BOOST_TEST(!reads->isCurrent());
}

BOOST_AUTO_TEST_CASE(AppliesNewerCopiesOfAPeer)
{
    BOOST_TEST(isLost);
    peers.mirror.replaceAll(name, { { item("atl-b", 7) }, Ports::StoreRevision(7) });
    time.runFor(Core::Millis(500));
    BOOST_TEST(listener.names == (std::set<std::string> { "atl-b" }));
    BOOST_TEST(refreshes > 0);
}

BOOST_AUTO_TEST_CASE(IgnoresOlderCopies)
{
    peers.mirror.replaceAll(name, { { item("old", 1) }, Ports::StoreRevision(1) });
    time.runFor(Core::Millis(3000));
    BOOST_TEST(listener.names == (std::set<std::string> { "a" }));
}

BOOST_AUTO_TEST_CASE(QueriesItsPeersInTurn)
{
    time.runFor(Core::Millis(3000));
    BOOST_TEST((std::set<Core::Address>(peers.queriedPeers.begin(), peers.queriedPeers.end()).size() == 2U));
}

BOOST_AUTO_TEST_CASE(DoesNotReportARefreshFromAPeerWithoutStoreAccess)
{
    refreshes = 0;
    peers.isStoreReachable = false;
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
    const auto before = peers.queriedPeers.size();
    time.runFor(Core::Millis(5000));
    BOOST_TEST(peers.queriedPeers.size() == before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AVmOfALargeRegion, VmOfLargeRegion)

BOOST_AUTO_TEST_SUITE(ThatIsAmongTheFirstOfTheRanking)

BOOST_AUTO_TEST_CASE(ReadsTheStore)
{
    view.ownPlace = 1;
    startAndSettle();
    BOOST_TEST(reads->isReadingStore());
    BOOST_TEST(lists() == 1);
    BOOST_TEST(peers.queriedPeers.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatIsFurtherDown)

BOOST_AUTO_TEST_CASE(FollowsAVmThatReadsTheStoreAndMakesNoCall)
{
    startAndSettle();
    BOOST_TEST(!reads->isReadingStore());
    BOOST_TEST(listener.names == (std::set<std::string> { "a" }));
    peers.mirror.apply(name, { { { item("b", 5), false } }, Ports::StoreRevision(5) });
    time.runFor(Core::Millis(200));
    BOOST_TEST(listener.names == (std::set<std::string> { "a", "b" }));
    BOOST_TEST(lists() == 0);
    BOOST_TEST(store.watches.empty());
}

BOOST_AUTO_TEST_CASE(KnowsTheAgeOfItsCopies)
{
    peers.age = Core::Millis(700);
    startAndSettle();
    const auto contact = reads->contact();
    BOOST_REQUIRE(contact.age.has_value());
    BOOST_TEST((*contact.age >= Core::Millis(700)));
    BOOST_TEST(contact.isFresh());
}

BOOST_AUTO_TEST_CASE(HasCurrentCopiesThoughItIsTooFarFromTheStoreToBeFollowed)
{
    peers.hops = 1;
    startAndSettle();
    BOOST_TEST(!reads->isReadingStore());
    BOOST_TEST(!reads->contact().isFresh());
    BOOST_TEST(reads->isCurrent());
}

BOOST_AUTO_TEST_SUITE(WhoseSource)

BOOST_AUTO_TEST_CASE(FallsSilentAsksTheNextOne)
{
    startAndSettle();
    peers.silent = { peerAddress(0) };
    time.runFor(Core::Millis(200));
    BOOST_TEST(peers.queriedPeers.back().value() == peerAddress(1).value());
    BOOST_TEST(!reads->isReadingStore());
    BOOST_TEST(!isLostBySource);
}

BOOST_AUTO_TEST_CASE(DoesNotReachTheStoreAsksTheNextOneAndLosesNothing)
{
    startAndSettle();
    peers.outdated = { peerAddress(0) };
    time.runFor(Core::Millis(200));
    BOOST_TEST(peers.queriedPeers.back().value() == peerAddress(1).value());
    BOOST_TEST(!isLost);
}

BOOST_AUTO_TEST_CASE(AnswersWithAnOlderCopyDoesNotTakeItBack)
{
    startAndSettle();
    peers.mirror.apply(name, { { { item("b", 5), false } }, Ports::StoreRevision(5) });
    time.runFor(Core::Millis(200));
    peers.mirror.replaceAll(name, { { item("a", 2) }, Ports::StoreRevision(3) });
    time.runFor(Core::Millis(1000));
    BOOST_TEST(listener.names == (std::set<std::string> { "a", "b" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatNobodyAnswers)

BOOST_AUTO_TEST_CASE(ReadsTheStoreAfterThreeTries)
{
    startAndSettle();
    peers.silent = { peerAddress(0), peerAddress(1), peerAddress(2), peerAddress(3), peerAddress(4) };
    time.runFor(Core::Millis(200));
    BOOST_TEST(reads->isReadingStore());
    BOOST_TEST(lists() == 1);
}

BOOST_AUTO_TEST_CASE(ReadsTheStoreWithinASecondOfItsStart)
{
    peers.silent = { peerAddress(0), peerAddress(1), peerAddress(2), peerAddress(3), peerAddress(4), peerAddress(5),
        peerAddress(6) };
    view.size = 0;
    view.listed = 7;
    start();
    time.runFor(Core::Millis(1500));
    BOOST_TEST(reads->isReadingStore());
    BOOST_TEST(listener.names == (std::set<std::string> { "a" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseSourcesAllHaveLostTheStore)

BOOST_AUTO_TEST_CASE(WaitsForItsTurnToReadIt)
{
    startAndSettle();
    peers.isStoreReachable = false;
    time.runFor(Core::Millis(1300));
    BOOST_TEST(isLost);
    BOOST_TEST(isLostBySource);
    BOOST_TEST(!reads->isReadingStore());
    BOOST_TEST(lists() == 0);
    // The copy is older the longer it lasts, and further places of the ranking are tried.
    time.runFor(Core::Millis(3000));
    BOOST_TEST(reads->isReadingStore());
    BOOST_TEST(!isLost);
}

BOOST_AUTO_TEST_CASE(FollowsAgainOnceOneHasRegainedIt)
{
    startAndSettle();
    peers.isStoreReachable = false;
    time.runFor(Core::Millis(1300));
    peers.isStoreReachable = true;
    peers.mirror.apply(name, { { { item("c", 8), false } }, Ports::StoreRevision(8) });
    time.runFor(Core::Millis(1500));
    BOOST_TEST(!isLost);
    BOOST_TEST(!isLostBySource);
    BOOST_TEST(listener.names.contains("c"));
    BOOST_TEST(lists() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AVmOfASmallRegion, VmOfLargeRegion)

BOOST_AUTO_TEST_CASE(ReadsTheStoreItself)
{
    view.size = 6;
    view.listed = 6;
    startAndSettle();
    BOOST_TEST(reads->isReadingStore());
    BOOST_TEST(peers.queriedPeers.empty());
}

BOOST_AUTO_TEST_SUITE_END()
