#include "fakes.h"
#include "storesync/mirrorhost.h"

#include <boost/test/unit_test.hpp>

using namespace FollowingTest;

namespace {

using Names = std::set<std::string>;

const Ports::CollectionName upstreams { "upstreams" };
const Ports::CollectionName evacuations { "evacuations" };

/// Store that counts its lists by collection.
class CountingStore : public ScriptedStore {
public:
    auto list(const Ports::CollectionName& name, ListCallback callback) -> void override
    {
        ++listsOf[name];
        ScriptedStore::list(name, std::move(callback));
    }

    std::map<Ports::CollectionName, int> listsOf;
};

class NullStoreListener : public StoreSync::StoreListener {
public:
    auto storeLost() -> void override { }
    auto storeRegained() -> void override { }
};

/// Entry VM that follows two collections.
struct Vm {
    Vm(TestSupport::VirtualTime& virtualTime, CountingStore& collections)
        : time(virtualTime)
        , store(collections)
    {
        for (const auto& follower : { first, second })
            watchdog->add(follower);
    }

    auto environment() -> StoreSync::CollectionFollower::Environment
    {
        StoreSync::CollectionFollower::Environment result { time, store, time, random, events, mirror };
        result.storeAnswered = [this] { watchdog->recordResponse(); };
        result.eraSeen = [this](Ports::StoreEra era) { watchdog->recordEra(era); };
        result.changed = [this] { host->notify(); };
        return result;
    }

    auto start() -> void
    {
        first->start();
        second->start();
        watchdog->start();
    }

    TestSupport::VirtualTime& time;
    CountingStore& store;
    SeededRandom random;
    EventCounter events;
    StoreSync::CollectionMirror mirror { time };
    NameListener firstNames;
    NameListener secondNames;
    NullStoreListener listener;
    StoreSync::StoreContact contact { true, Core::Duration(0) };
    bool contactStatesEra = true;
    std::shared_ptr<StoreSync::StoreWatchdog> watchdog = std::make_shared<StoreSync::StoreWatchdog>(
        StoreSync::CollectionFollower::Environment { time, store, time, random, events, mirror }, listener);
    std::shared_ptr<StoreSync::MirrorHost> host
        = std::make_shared<StoreSync::MirrorHost>(StoreSync::MirrorHost::Environment { time, mirror,
            [this] {
                contact.era = contactStatesEra ? watchdog->latestEra() : Ports::StoreEra();
                return contact;
            },
            [this](Ports::StoreEra era) { watchdog->checkEra(era); } });
    std::shared_ptr<StoreSync::CollectionFollower> first
        = std::make_shared<StoreSync::CollectionFollower>(upstreams, firstNames, environment());
    std::shared_ptr<StoreSync::CollectionFollower> second
        = std::make_shared<StoreSync::CollectionFollower>(evacuations, secondNames, environment());
};

struct VmThatReadsTheStore {
    VmThatReadsTheStore()
    {
        store.content = listOf({ "a" }, revisionOf(100, 1));
        vm.start();
        time.runFor(Core::Millis(100));
    }

    auto lists() -> std::pair<int, int> { return { store.listsOf[upstreams], store.listsOf[evacuations] }; }

    TestSupport::VirtualTime time;
    CountingStore store;
    Vm vm { time, store };
};

/// Asks the hosts of the entry VMs directly.
class DirectMirrors : public StoreSync::MirrorPort {
public:
    auto poll(const Core::Address& peer, const StoreSync::MirrorPoll& poll, Callback callback) -> void override
    {
        polls.push_back(poll);
        const auto found = hosts.find(peer);
        if (found == hosts.end())
            callback(Core::fail(Core::ErrorKind::Timeout, "no answer", "ask another entry VM"));
        else
            found->second->poll(poll, [callback](const StoreSync::MirrorResponse& response) { callback(response); });
    }

    std::map<Core::Address, std::shared_ptr<StoreSync::MirrorHost>> hosts;
    std::vector<StoreSync::MirrorPoll> polls;
};

const Core::Address sourceAddress { "10.0.0.0:1" };
constexpr std::size_t regionSize = 40;

/// Region whose first VM reads the store for all others.
class OneReader : public StoreSync::SourceView {
public:
    [[nodiscard]] auto ranking() const -> std::vector<StoreSync::SourceCandidate> override { return candidates(); }
    [[nodiscard]] auto knownPeers() const -> std::vector<Core::Address> override { return { sourceAddress }; }
    [[nodiscard]] auto knownRanking() const -> std::vector<StoreSync::SourceCandidate> override { return candidates(); }

private:
    [[nodiscard]] static auto candidates() -> std::vector<StoreSync::SourceCandidate>
    {
        std::vector<StoreSync::SourceCandidate> result { { sourceAddress, false, false } };
        for (std::size_t place = 1; place < regionSize; ++place)
            result.push_back(
                { Core::Address("10.0.0." + std::to_string(place) + ":1"), place == regionSize - 1, false });
        return result;
    }
};

/// Entry VM that takes the store's changes from another one.
struct VmThatFollowsAnother : VmThatReadsTheStore {
    VmThatFollowsAnother()
    {
        mirrors.hosts[sourceAddress] = vm.host;
        reads->add(upstreams, follower.first);
        reads->add(evacuations, follower.second);
        reads->start();
        reads->handleRegistration(true);
        time.runFor(Core::Millis(1000));
        ownLists = followersStore.lists;
    }

    TestSupport::VirtualTime& clock = time;
    CountingStore followersStore;
    Vm follower { clock, followersStore };
    DirectMirrors mirrors;
    OneReader view;
    int ownLists = 0;
    std::shared_ptr<StoreSync::SharedReads> reads
        = std::make_shared<StoreSync::SharedReads>(StoreSync::SharedReads::Environment { follower.environment(),
            mirrors, follower.mirror, *follower.watchdog, view, Ports::CollectionName("entryvms"), 1 });
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AVmThatReadsAStore, VmThatReadsTheStore)

BOOST_AUTO_TEST_SUITE(OnItsFirstAnswer)

BOOST_AUTO_TEST_CASE(ListsEachCollectionOnce)
{
    time.runFor(Core::Millis(10'000));
    BOOST_TEST(lists().first == 1);
    BOOST_TEST(lists().second == 1);
    BOOST_TEST(vm.events.count("store.era-changed") == 0);
}

BOOST_AUTO_TEST_CASE(IsNotToldOfAnEraByAPollThatKnowsNothing)
{
    std::vector<Ports::StoreEra> eras;
    const auto host = std::make_shared<StoreSync::MirrorHost>(StoreSync::MirrorHost::Environment {
        time, vm.mirror, [this] { return vm.contact; }, [&eras](Ports::StoreEra era) { eras.push_back(era); } });
    host->poll({ {}, Core::Millis(0) }, [](const StoreSync::MirrorResponse&) {});
    BOOST_TEST(eras.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatReturnsFromAnOlderCopy)

BOOST_AUTO_TEST_CASE(ListsAllCollectionsOnceAfterAPing)
{
    store.content = listOf({ "a", "d" }, revisionOf(40, 2));
    time.runFor(Core::Millis(1000));
    BOOST_TEST(lists().first == 2);
    BOOST_TEST(lists().second == 2);
    BOOST_TEST(vm.firstNames.names.contains("d"));
    BOOST_TEST(vm.secondNames.names.contains("d"));
    BOOST_TEST(vm.events.count("store.era-changed") == 1);
    time.runFor(Core::Millis(10'000));
    BOOST_TEST(lists().first == 2);
    BOOST_TEST(lists().second == 2);
}

BOOST_AUTO_TEST_CASE(ListsAllCollectionsOnceAfterAWatchOfOneIsAnswered)
{
    store.content = listOf({ "a", "d" }, revisionOf(40, 2));
    const auto watch = store.watches.front();
    watch->callback(Core::fail(Core::ErrorKind::Conflict, "the revision is unknown", "list again"));
    time.runFor(Core::Millis(1));
    BOOST_TEST(lists().first == 2);
    BOOST_TEST(lists().second == 2);
    time.runFor(Core::Millis(10'000));
    BOOST_TEST(lists().first == 2);
    BOOST_TEST(lists().second == 2);
}

BOOST_AUTO_TEST_CASE(ListsAllCollectionsAfterAPollOfAVmThatKnows)
{
    store.content = listOf({ "a", "d" }, revisionOf(40, 2));
    std::optional<StoreSync::MirrorResponse> answer;
    vm.host->poll({ { { upstreams, revisionOf(40, 2) }, { evacuations, revisionOf(100, 1) } }, Core::Millis(0) },
        [&answer](const StoreSync::MirrorResponse& response) { answer = response; });
    BOOST_TEST(lists().first == 2);
    BOOST_TEST(lists().second == 2);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(!answer->news.contains(upstreams));
    BOOST_TEST(std::get<Ports::CollectionList>(answer->news.at(evacuations)).revision == revisionOf(40, 2));
}

BOOST_AUTO_TEST_CASE(ListsNothingAfterPollsOfVmsThatKnowNoMore)
{
    for (const std::uint64_t era : { 0, 1 }) {
        vm.host->poll(
            { { { upstreams, revisionOf(900, era) } }, Core::Millis(0) }, [](const StoreSync::MirrorResponse&) {});
    }
    BOOST_TEST(lists().first == 1);
    BOOST_TEST(lists().second == 1);
}

BOOST_AUTO_TEST_CASE(AnswersTheHeldPollsOfTheEarlierEraWithTheWholeCollection)
{
    std::optional<StoreSync::MirrorResponse> answer;
    vm.host->poll({ { { upstreams, revisionOf(100, 1) }, { evacuations, revisionOf(100, 1) } }, Core::Millis(400) },
        [&answer](const StoreSync::MirrorResponse& response) { answer = response; });
    BOOST_REQUIRE(!answer.has_value());
    store.content = listOf({ "a", "d" }, revisionOf(40, 2));
    vm.watchdog->recordEra(Ports::StoreEra(2));
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(std::get<Ports::CollectionList>(answer->news.begin()->second).items.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AVmThatFollowsOneThatReadsTheStore, VmThatFollowsAnother)

BOOST_AUTO_TEST_CASE(LearnsOfAReturnFromItsSourceAndMakesNoCall)
{
    store.content = listOf({ "a", "d" }, revisionOf(40, 2));
    time.runFor(Core::Millis(2000));
    BOOST_TEST(!reads->isReadingStore());
    BOOST_TEST(follower.first->revision() == revisionOf(40, 2));
    BOOST_TEST(follower.second->revision() == revisionOf(40, 2));
    BOOST_TEST(follower.firstNames.names.contains("d"));
    BOOST_TEST(followersStore.lists == ownLists);
    BOOST_TEST(follower.events.count("store.era-changed") == 1);
}

BOOST_AUTO_TEST_CASE(KeepsTheNewEraWhileItsSourceHasTheOldOneAndMakesItList)
{
    BOOST_REQUIRE(follower.first->applyIfNewer(listOf({ "a", "d" }, revisionOf(40, 2))));
    store.content = listOf({ "a", "d", "e" }, revisionOf(41, 2));
    time.runFor(Core::Millis(500));
    BOOST_TEST(lists().first == 2);
    BOOST_TEST(lists().second == 2);
    BOOST_TEST(follower.first->revision() == revisionOf(41, 2));
    BOOST_TEST(follower.firstNames.names == (Names { "a", "d", "e" }));
    BOOST_TEST(follower.second->revision() == revisionOf(41, 2));
    BOOST_TEST(followersStore.lists == ownLists);
}

/// A VM of an earlier version states no era: what it sends is not applied, and it must not be followed.
BOOST_AUTO_TEST_CASE(DoesNotStayWithASourceThatKnowsOfNoEra)
{
    vm.contactStatesEra = false;
    BOOST_REQUIRE(follower.first->applyIfNewer(listOf({ "a", "d" }, revisionOf(40, 2))));
    followersStore.content = listOf({ "a", "e" }, revisionOf(41, 2));
    time.runFor(Core::Millis(5000));
    BOOST_TEST(reads->isReadingStore());
    BOOST_TEST(follower.firstNames.names == (Names { "a", "e" }));
}

BOOST_AUTO_TEST_CASE(KeepsTheNewEraThoughItsSourceIsCutOffFromTheStore)
{
    BOOST_REQUIRE(follower.first->applyIfNewer(listOf({ "d" }, revisionOf(40, 2))));
    store.isUnavailable = true;
    time.runFor(Core::Millis(500));
    BOOST_TEST(vm.first->revision() == revisionOf(100, 1));
    vm.mirror.apply(upstreams, { { { item("lost", 101, 1), false } }, revisionOf(101, 1) });
    vm.host->notify();
    time.runFor(Core::Millis(1000));
    BOOST_TEST(follower.first->revision() == revisionOf(40, 2));
    BOOST_TEST(!follower.firstNames.names.contains("lost"));
}

BOOST_AUTO_TEST_SUITE_END()
