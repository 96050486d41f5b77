#include "entryfleet/entryfleet.h"
#include "support/virtualtime.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace {

using EntryFleet::EntryVmEntry;

class NullEventSink : public Ports::EventSink {
public:
    auto record(Ports::Event) -> void override { }
};

/// Keeps the heartbeats that were sent.
class RecordingChannel : public EntryFleet::HeartbeatPort {
public:
    auto send(const Core::Address& to, const EntryFleet::Heartbeat& heartbeat) -> void override
    {
        sentTo.insert(to);
        last = heartbeat;
    }

    std::set<Core::Address> sentTo;
    EntryFleet::Heartbeat last;
};

constexpr std::int64_t ownStart = 5;

auto entryVm(const std::string& id, std::int64_t start = ownStart) -> EntryVmEntry
{
    EntryVmEntry entry;
    entry.id = Core::EntryVmId(id);
    entry.start = Core::ProcessStartId(start);
    entry.failureDomain = Core::FailureDomainId("atl-a");
    entry.region = Core::RegionId("atl");
    entry.front = Core::Address(id + ":80");
    entry.heartbeats = Core::Address(id + ":" + std::to_string(start));
    entry.peers = Core::Address(id + ":82");
    return entry;
}

/// Fleet of three entry VMs, seen by the first one, all of which send heartbeats.
struct AListedFleet {
    AListedFleet()
    {
        fleet.replaceAll({ entryVm("atl-1"), entryVm("atl-2"), entryVm("atl-3") });
        fleet.start();
        hearOthers();
    }

    auto hearOthers() -> void
    {
        for (const auto* id : { "atl-2", "atl-3" })
            fleet.receive({ Core::EntryVmId(id), Core::ProcessStartId(ownStart), false });
    }

    auto listedIds() const -> std::set<std::string>
    {
        std::set<std::string> ids;
        const auto entries = fleet.listed();
        for (const auto& entry : entries.value())
            ids.insert(entry.id.value());
        return ids;
    }

    TestSupport::VirtualTime time;
    NullEventSink events;
    RecordingChannel channel;
    EntryFleet::EntryFleet fleet { entryVm("atl-1"), { time, time, events, channel } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AFleetWhoseStoreReturnsFromAnOlderCopy, AListedFleet)

BOOST_AUTO_TEST_SUITE(ThatLacksOtherEntryVms)

BOOST_AUTO_TEST_CASE(StillCountsThemAsListed)
{
    fleet.mergeReturned({ entryVm("atl-1") });
    BOOST_TEST(listedIds() == (std::set<std::string> { "atl-1", "atl-2", "atl-3" }));
    BOOST_TEST(fleet.callerAddresses().size() == 3U);
    BOOST_TEST(fleet.regionalCount() == 3U);
    BOOST_TEST(fleet.isSelfListed());
}

BOOST_AUTO_TEST_CASE(ForgetsThemOnceTheyAreRemoved)
{
    fleet.mergeReturned({ entryVm("atl-1") });
    fleet.remove(Core::EntryVmId("atl-3"));
    BOOST_TEST(listedIds() == (std::set<std::string> { "atl-1", "atl-2" }));
}

BOOST_AUTO_TEST_CASE(AddsThoseThatItDidNotKnow)
{
    fleet.mergeReturned({ entryVm("atl-1"), entryVm("atl-4") });
    BOOST_TEST(listedIds().contains("atl-4"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatLacksThisVm)

BOOST_AUTO_TEST_CASE(CountsItAsNotListedUntilItIsWrittenAgain)
{
    BOOST_REQUIRE(fleet.isSelfListed());
    fleet.mergeReturned({ entryVm("atl-2"), entryVm("atl-3") });
    BOOST_TEST(!fleet.isSelfListed());
    fleet.upsert(entryVm("atl-1"));
    BOOST_TEST(fleet.isSelfListed());
}

BOOST_AUTO_TEST_CASE(IntroducesItByItsHeartbeats)
{
    fleet.mergeReturned({ entryVm("atl-2"), entryVm("atl-3") });
    time.runFor(EntryFleet::EntryFleet::heartbeatInterval);
    BOOST_TEST(channel.last.introduction.has_value());
}

BOOST_AUTO_TEST_CASE(StillNamesItToCallersAndInTheRanking)
{
    fleet.mergeReturned({ entryVm("atl-2"), entryVm("atl-3") });
    BOOST_TEST(fleet.callerAddresses().size() == 3U);
    BOOST_TEST(fleet.knownRanking().size() == 3U);
    BOOST_TEST(listedIds().contains("atl-1"));
}

BOOST_AUTO_TEST_CASE(CountsItAsNotListedIfItListsAnEarlierStart)
{
    fleet.mergeReturned({ entryVm("atl-1", ownStart - 1), entryVm("atl-2"), entryVm("atl-3") });
    BOOST_TEST(!fleet.isSelfListed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatHasAnEarlierStartOfAnotherVm)

BOOST_AUTO_TEST_CASE(StillSendsHeartbeatsToItsLaterStart)
{
    fleet.mergeReturned({ entryVm("atl-1"), entryVm("atl-2", ownStart - 1), entryVm("atl-3") });
    channel.sentTo.clear();
    time.runFor(EntryFleet::EntryFleet::heartbeatInterval);
    BOOST_TEST(channel.sentTo.contains(entryVm("atl-2").heartbeats));
    BOOST_TEST(fleet.callerAddresses().size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
