#include "datagrampeer/datagrampeer.h"
#include "entryfleet/entryfleet.h"
#include "fakes/virtualworld.h"
#include "support/virtualtime.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace {

using EntryFleet::EntryVmEntry;

class NullEventSink : public Ports::EventSink {
public:
    auto record(Ports::Event) -> void override { }
};

auto entryVm(const std::string& id, const std::string& region, std::int64_t start = 1) -> EntryVmEntry
{
    EntryVmEntry entry;
    entry.id = Core::EntryVmId(id);
    entry.start = Core::ProcessStartId(start);
    entry.failureDomain = Core::FailureDomainId(region + "-a");
    entry.region = Core::RegionId(region);
    entry.front = Core::Address(id + ":80");
    entry.heartbeats = Core::Address(id + ":81");
    entry.peers = Core::Address(id + ":82");
    return entry;
}

/// Delivers heartbeats immediately and drops those of the entry VMs in `silent`.
class DirectChannel : public EntryFleet::HeartbeatPort {
public:
    auto send(const Core::Address& to, const EntryFleet::Heartbeat& heartbeat) -> void override
    {
        ++sent;
        if (silent.contains(heartbeat.sender) || !receivers.contains(to))
            return;
        receivers[to]->receive(heartbeat);
    }

    std::map<Core::Address, EntryFleet::EntryFleet*> receivers;
    std::set<Core::EntryVmId> silent;
    int sent = 0;
};

struct ThreeEntryVms {
    ThreeEntryVms()
    {
        const std::vector entries { entryVm("atl-1", "atl"), entryVm("atl-2", "atl"), entryVm("sav-1", "sav") };
        for (auto* fleet : { &one, &two, &other })
            fleet->replaceAll(entries);
        channel.receivers = { { Core::Address("atl-1:81"), &one }, { Core::Address("atl-2:81"), &two },
            { Core::Address("sav-1:81"), &other } };
        for (auto* fleet : { &one, &two, &other })
            fleet->start();
        time.runFor(Core::Millis(2000));
    }

    TestSupport::VirtualTime time;
    NullEventSink events;
    DirectChannel channel;
    EntryFleet::EntryFleet one { entryVm("atl-1", "atl"), { time, time, events, channel } };
    EntryFleet::EntryFleet two { entryVm("atl-2", "atl"), { time, time, events, channel } };
    EntryFleet::EntryFleet other { entryVm("sav-1", "sav"), { time, time, events, channel } };
};

/// Delivers heartbeats after a millisecond, or once a paused receiver resumes.
class VirtualChannel : public EntryFleet::HeartbeatPort {
public:
    explicit VirtualChannel(Fakes::VirtualWorld& world)
        : m_world(world)
    {
    }

    auto send(const Core::Address& to, const EntryFleet::Heartbeat& heartbeat) -> void override
    {
        m_world.post(to, Core::Millis(1), [this, to, heartbeat] { receivers.at(to)->receive(heartbeat); });
    }

    std::map<Core::Address, EntryFleet::EntryFleet*> receivers;

private:
    Fakes::VirtualWorld& m_world;
};

/// Two entry VMs of one region. The first can be paused.
struct TwoEntryVmsOfARegion {
    TwoEntryVmsOfARegion()
    {
        channel.receivers = { { Core::Address("atl-1:81"), &one }, { Core::Address("atl-2:81"), &two } };
        for (auto* fleet : { &one, &two }) {
            fleet->replaceAll({ entryVm("atl-1", "atl"), entryVm("atl-2", "atl") });
            fleet->start();
        }
        world.runFor(Core::Millis(3000));
    }

    auto pauseFirst(Core::Duration time) -> void
    {
        world.pause(Core::Address("atl-1:81"));
        world.runFor(time);
        world.resume(Core::Address("atl-1:81"));
    }

    NullEventSink events;
    Fakes::VirtualWorld world { 1 };
    VirtualChannel channel { world };
    Fakes::VirtualNode firstNode { world, Core::Address("atl-1:81") };
    Fakes::VirtualNode secondNode { world, Core::Address("atl-2:81") };
    EntryFleet::EntryFleet one { entryVm("atl-1", "atl"), { world, firstNode, events, channel } };
    EntryFleet::EntryFleet two { entryVm("atl-2", "atl"), { world, secondNode, events, channel } };
};

auto coldUpstream(const std::string& id) -> Forwarding::UpstreamEntry
{
    Forwarding::UpstreamEntry entry;
    entry.target.id = Core::UpstreamId(id);
    entry.region = Core::RegionId("atl");
    return entry;
}

/// Four entry VMs of one region. All of them were just started, with a start that the store doesn't list.
struct FourFreshEntryVms {
    static constexpr std::int64_t ownStart = 2;

    FourFreshEntryVms()
    {
        for (int number = 1; number <= 4; ++number) {
            const auto self = entryVm("atl-" + std::to_string(number), "atl", ownStart);
            fleets.push_back(std::make_unique<EntryFleet::EntryFleet>(
                self, EntryFleet::EntryFleet::Environment { time, time, events, channel }));
            channel.receivers[self.heartbeats] = fleets.back().get();
        }
        for (const auto& fleet : fleets)
            fleet->start();
    }

    /// Hands the first entry VMs, as many as given, of an old list to all of them.
    auto list(int count, std::int64_t start = 1) -> void
    {
        std::vector<EntryVmEntry> entries;
        for (int number = 1; number <= count; ++number)
            entries.push_back(entryVm("atl-" + std::to_string(number), "atl", start));
        for (const auto& fleet : fleets)
            fleet->replaceAll(entries);
    }

    auto ownersOf(const std::string& id) const -> std::ptrdiff_t
    {
        return std::count_if(
            fleets.begin(), fleets.end(), [&](const auto& fleet) { return fleet->isOwner(coldUpstream(id)); });
    }

    auto mostOwnersWithin(Core::Duration duration) -> std::ptrdiff_t
    {
        std::ptrdiff_t most = 0;
        for (const auto end = time.now() + duration; time.now() < end; time.runFor(Core::Millis(50))) {
            for (int upstream = 0; upstream < 40; ++upstream)
                most = std::max(most, ownersOf("u" + std::to_string(upstream)));
        }
        return most;
    }

    auto checkOneOwnerEach() const -> void
    {
        for (int upstream = 0; upstream < 40; ++upstream)
            BOOST_TEST(ownersOf("u" + std::to_string(upstream)) == 1);
    }

    TestSupport::VirtualTime time;
    NullEventSink events;
    DirectChannel channel;
    std::vector<std::unique_ptr<EntryFleet::EntryFleet>> fleets;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryVmsOfARegion, ThreeEntryVms)

BOOST_AUTO_TEST_SUITE(InNormalOperation)

BOOST_AUTO_TEST_CASE(AreAllListedForCallers)
{
    const std::vector expected { Core::Address("atl-1:80"), Core::Address("atl-2:80") };
    BOOST_TEST((one.callerAddresses() == expected));
}

BOOST_AUTO_TEST_CASE(AreRankedWithTheLargestFirst)
{
    for (const auto* largest : { "atl-1", "atl-2" }) {
        auto entries = std::vector { entryVm("atl-1", "atl"), entryVm("atl-2", "atl") };
        for (auto& entry : entries)
            entry.processor = EntryFleet::Cores(entry.id.value() == largest ? 0.5 : 0.1);
        EntryFleet::EntryFleet fleet(entries.front(), { time, time, events, channel });
        fleet.replaceAll(entries);
        BOOST_REQUIRE(fleet.knownRanking().size() == 2U);
        BOOST_TEST(fleet.knownRanking().front().id.value() == largest);
    }
}

BOOST_AUTO_TEST_CASE(DivideTheColdUpstreamsOfTheirRegion)
{
    int owned = 0;
    for (int upstream = 0; upstream < 40; ++upstream) {
        const auto entry = coldUpstream("u" + std::to_string(upstream));
        BOOST_TEST(one.isOwner(entry) != two.isOwner(entry));
        BOOST_TEST(!other.isOwner(entry));
        owned += one.isOwner(entry) ? 1 : 0;
    }
    BOOST_TEST(owned > 5);
    BOOST_TEST(owned < 35);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfWhichOneSendsNoHeartbeats)

BOOST_AUTO_TEST_CASE(ListOnlyTheLiveOnes)
{
    channel.silent.insert(Core::EntryVmId("atl-2"));
    time.runFor(EntryFleet::EntryFleet::heartbeatTimeout + EntryFleet::EntryFleet::heartbeatInterval);
    BOOST_TEST((one.callerAddresses() == std::vector { Core::Address("atl-1:80") }));
}

BOOST_AUTO_TEST_CASE(ListItAgainAfterItsNextHeartbeat)
{
    channel.silent.insert(Core::EntryVmId("atl-2"));
    time.runFor(Core::Millis(5000));
    channel.silent.clear();
    time.runFor(EntryFleet::EntryFleet::heartbeatInterval);
    BOOST_TEST(one.callerAddresses().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfWhichOneLeaves)

BOOST_AUTO_TEST_CASE(RemoveItFromTheirListsAtOnce)
{
    two.leave();
    BOOST_TEST((one.callerAddresses() == std::vector { Core::Address("atl-1:80") }));
    BOOST_TEST((two.callerAddresses() == std::vector { Core::Address("atl-1:80") }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfWhichOneIsBusy)

BOOST_AUTO_TEST_CASE(AreStillAllNamedIfTheyAreOfOneSize)
{
    two.setBusy(true);
    time.runFor(Core::Millis(1000));
    BOOST_TEST(one.callerAddresses().size() == 2U);
    BOOST_TEST(two.callerAddresses().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfWhichOneRestarts)

BOOST_AUTO_TEST_CASE(DoNotTreatItsStoreEntryAsAHeartbeat)
{
    channel.silent.insert(Core::EntryVmId("atl-2"));
    one.upsert(entryVm("atl-2", "atl", 2));
    BOOST_TEST(one.callerAddresses().size() == 1U);
}

BOOST_AUTO_TEST_CASE(IgnoreHeartbeatsOfItsPreviousStart)
{
    one.upsert(entryVm("atl-2", "atl", 2));
    one.receive({ Core::EntryVmId("atl-2"), Core::ProcessStartId(1), false });
    BOOST_TEST(one.callerAddresses().size() == 1U);
    one.receive({ Core::EntryVmId("atl-2"), Core::ProcessStartId(2), false });
    BOOST_TEST(one.callerAddresses().size() == 2U);
}

BOOST_AUTO_TEST_CASE(CountOneWhoseClockSteppedBackOnceItsPreviousStartIsSilent)
{
    channel.silent.insert(Core::EntryVmId("atl-2"));
    one.upsert(entryVm("atl-2", "atl", 0));
    const EntryFleet::Heartbeat heartbeat { Core::EntryVmId("atl-2"), Core::ProcessStartId(0), false };
    for (int cycle = 0; cycle < 6; ++cycle) {
        time.runFor(EntryFleet::EntryFleet::heartbeatInterval);
        one.receive(heartbeat);
    }
    BOOST_TEST(one.callerAddresses().size() == 2U);
}

BOOST_AUTO_TEST_CASE(OwnNoColdUpstreamRightAfterTheStart)
{
    EntryFleet::EntryFleet fresh { entryVm("atl-3", "atl"), { time, time, events, channel } };
    fresh.start();
    BOOST_TEST(!fresh.isOwner(coldUpstream("u1")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(EntryVmsThatRestartWhileTheStoreTurnsThemAway, FourFreshEntryVms)

/// Review case 2: each of them took the others for dead and itself for the one owner of every cold upstream.
BOOST_AUTO_TEST_CASE(OwnEachColdUpstreamOnce)
{
    list(4);
    BOOST_TEST(mostOwnersWithin(Core::Millis(3000)) == 1);
    checkOneOwnerEach();
}

BOOST_AUTO_TEST_CASE(AreNamedToCallers)
{
    list(4);
    time.runFor(Core::Millis(3000));
    for (const auto& fleet : fleets)
        BOOST_TEST(fleet->callerAddresses().size() == 4U);
}

/// Review case 2: the list came from other entry VMs seconds after the start.
BOOST_AUTO_TEST_CASE(OwnNothingBeforeTheyHaveHeardTheOthers)
{
    time.runFor(Core::Millis(5300));
    list(4);
    BOOST_TEST(mostOwnersWithin(Core::Millis(100)) == 0);
    BOOST_TEST(mostOwnersWithin(Core::Millis(2900)) == 1);
    checkOneOwnerEach();
}

BOOST_AUTO_TEST_CASE(OwnEachColdUpstreamOnceAlthoughSomeWereNeverListed)
{
    time.runFor(Core::Millis(5300));
    list(2);
    BOOST_TEST(mostOwnersWithin(Core::Millis(3000)) == 1);
    checkOneOwnerEach();
}

BOOST_AUTO_TEST_CASE(OwnEachColdUpstreamOnceWhenAnEarlierRegistrationIsWrittenLate)
{
    list(4, 0);
    time.runFor(Core::Millis(3000));
    list(4, 1);
    BOOST_TEST(mostOwnersWithin(Core::Millis(3000)) == 1);
    checkOneOwnerEach();
}

BOOST_AUTO_TEST_CASE(LeaveTheUpstreamsOfOneThatEndsToTheOthers)
{
    list(2);
    time.runFor(Core::Millis(3000));
    channel.silent.insert(Core::EntryVmId("atl-3"));
    time.runFor(EntryFleet::EntryFleet::heartbeatTimeout + EntryFleet::EntryFleet::heartbeatInterval);
    channel.receivers.erase(Core::Address("atl-3:81"));
    fleets.erase(fleets.begin() + 2);
    checkOneOwnerEach();
    BOOST_TEST(fleets.front()->callerAddresses().size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AnEntryVmThatWasPaused, TwoEntryVmsOfARegion)

BOOST_AUTO_TEST_CASE(ListsTheOthersForCallersAsBefore)
{
    pauseFirst(Core::Millis(6000));
    BOOST_TEST(one.callerAddresses().size() == 2U);
    world.runFor(Core::Millis(2));
    BOOST_TEST(one.callerAddresses().size() == 2U);
}

BOOST_AUTO_TEST_CASE(OwnsNoColdUpstreamUntilItHasReceivedHeartbeats)
{
    pauseFirst(Core::Millis(6000));
    for (int upstream = 0; upstream < 40; ++upstream)
        BOOST_TEST(!one.isOwner(coldUpstream("u" + std::to_string(upstream))));
    world.runFor(Core::Millis(2));
    for (int upstream = 0; upstream < 40; ++upstream)
        BOOST_TEST(!one.isOwner(coldUpstream("u" + std::to_string(upstream))));
    world.runFor(Core::Millis(3000));
    for (int upstream = 0; upstream < 40; ++upstream) {
        const auto entry = coldUpstream("u" + std::to_string(upstream));
        BOOST_TEST(one.isOwner(entry) != two.isOwner(entry));
    }
}

BOOST_AUTO_TEST_CASE(DetectsAPeerThatCrashedMeanwhile)
{
    world.crash(Core::Address("atl-2:81"));
    pauseFirst(Core::Millis(6000));
    world.runFor(EntryFleet::EntryFleet::heartbeatTimeout + EntryFleet::EntryFleet::heartbeatInterval);
    BOOST_TEST((one.callerAddresses() == std::vector { Core::Address("atl-1:80") }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AHeartbeat)

BOOST_AUTO_TEST_CASE(IsDecodedAsItWasEncoded)
{
    const auto read = DatagramPeer::decodeHeartbeat(
        DatagramPeer::encodeHeartbeat({ Core::EntryVmId("atl-1"), Core::ProcessStartId(77), true, {}, false, true }));
    BOOST_REQUIRE(read);
    BOOST_TEST(read->sender.value() == "atl-1");
    BOOST_TEST(read->start.value() == 77);
    BOOST_TEST(read->isLeaving);
    BOOST_TEST(read->isBusy);
    BOOST_TEST(!read->introduction.has_value());
}

BOOST_AUTO_TEST_CASE(IsDecodedWithItsIntroduction)
{
    auto entry = entryVm("atl-1", "atl", 77);
    entry.processor = EntryFleet::Cores(0.5);
    const auto read
        = DatagramPeer::decodeHeartbeat(DatagramPeer::encodeHeartbeat({ entry.id, entry.start, false, entry, true }));
    BOOST_REQUIRE(read);
    BOOST_REQUIRE(read->introduction.has_value());
    BOOST_TEST(read->introduction->id.value() == "atl-1");
    BOOST_TEST(read->introduction->start.value() == 77);
    BOOST_TEST(read->introduction->failureDomain.value() == "atl-a");
    BOOST_TEST(read->introduction->region.value() == "atl");
    BOOST_TEST(read->introduction->front.value() == "atl-1:80");
    BOOST_TEST(read->introduction->heartbeats.value() == "atl-1:81");
    BOOST_TEST(read->introduction->peers.value() == "atl-1:82");
    BOOST_TEST((read->introduction->processor == EntryFleet::Cores(0.5)));
    BOOST_TEST(read->isForwarded);
    BOOST_TEST(!read->isBusy);
}

BOOST_AUTO_TEST_CASE(ThatIsMalformedIsRejected)
{
    for (const std::string bytes : { "", "x", "\xff\xff", "\x83\x01\x02\x03", "\x84\x61x\x01\xf4\x81\x01" })
        BOOST_TEST(!DatagramPeer::decodeHeartbeat(bytes));
}

BOOST_AUTO_TEST_SUITE_END()
