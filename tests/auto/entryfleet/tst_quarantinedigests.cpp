#include "datagrampeer/datagrampeer.h"
#include "entryfleet/entryfleet.h"
#include "support/virtualtime.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace {

constexpr Dispatch::QuarantineDigest noDigest;
const Dispatch::QuarantineDigest digest { 0xfedcba9876543210U };

class NullEventSink : public Ports::EventSink {
public:
    auto record(Ports::Event) -> void override { }
};

/// Keeps the heartbeats that are sent.
class RecordingChannel : public EntryFleet::HeartbeatPort {
public:
    auto send(const Core::Address& to, const EntryFleet::Heartbeat& heartbeat) -> void override
    {
        ++heartbeats;
        if (heartbeat.quarantine != noDigest)
            digestsTo.push_back(to);
    }

    std::size_t heartbeats = 0;
    std::vector<Core::Address> digestsTo;
};

auto entryVm(const std::string& region, std::size_t number) -> EntryFleet::EntryVmEntry
{
    EntryFleet::EntryVmEntry entry;
    entry.id = Core::EntryVmId(region + '-' + std::to_string(number));
    entry.start = Core::ProcessStartId(1);
    entry.region = Core::RegionId(region);
    entry.heartbeats = Core::Address(entry.id.value() + ":81");
    entry.peers = Core::Address(entry.id.value() + ":82");
    return entry;
}

/// First of many VMs of a region, beside two smaller regions.
struct VmOfALargeRegion {
    static constexpr std::size_t regionSize = 401;

    VmOfALargeRegion()
    {
        std::vector<EntryFleet::EntryVmEntry> entries;
        for (const auto& [region, size] :
            std::map<std::string, std::size_t> { { "atl", regionSize }, { "sav", 3 }, { "mac", 1 } }) {
            for (std::size_t number = 0; number < size; ++number)
                entries.push_back(entryVm(region, number));
        }
        fleet.replaceAll(entries);
        fleet.start();
        channel = {};
    }

    auto runCycles(int count) -> void { time.runFor(count * EntryFleet::EntryFleet::heartbeatInterval); }

    [[nodiscard]] auto isDigestSentTo(const std::string& region) const -> bool
    {
        return std::any_of(channel.digestsTo.begin(), channel.digestsTo.end(),
            [&](const Core::Address& address) { return address.value().starts_with(region); });
    }

    TestSupport::VirtualTime time;
    NullEventSink events;
    RecordingChannel channel;
    Dispatch::QuarantineDigest quarantine = digest;
    std::vector<std::pair<Core::Address, Dispatch::QuarantineDigest>> received;
    EntryFleet::EntryFleet fleet { entryVm("atl", 0),
        { time, time, events, channel, [] {}, [this] { return quarantine; },
            [this](const Core::Address& address, Dispatch::QuarantineDigest value) {
                received.emplace_back(address, value);
            } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AVmOfALargeRegion, VmOfALargeRegion)

BOOST_AUTO_TEST_SUITE(ThatHasQuarantinedRequests)

BOOST_AUTO_TEST_CASE(TellsFewOthersInACycleButAllInTurn)
{
    runCycles(1);
    BOOST_TEST(channel.digestsTo.size() <= 18U);
    runCycles(25);
    const std::set<Core::Address> told(channel.digestsTo.begin(), channel.digestsTo.end());
    BOOST_TEST(told.size() == regionSize - 1 + 4);
}

BOOST_AUTO_TEST_CASE(SendsNoMoreHeartbeatsThanUsualButOneToEachOtherRegion)
{
    runCycles(10);
    const auto withDigest = channel.heartbeats;
    quarantine = noDigest;
    channel = {};
    runCycles(10);
    BOOST_TEST(withDigest == channel.heartbeats + 10 * 2);
    BOOST_TEST(channel.digestsTo.empty());
}

BOOST_AUTO_TEST_CASE(LeavesOtherRegionsToTheFirstOfItsRegion)
{
    EntryFleet::Heartbeat fromFirst { Core::EntryVmId("atl-0"), Core::ProcessStartId(1) };
    EntryFleet::EntryFleet second { entryVm("atl", 1), { time, time, events, channel, [] {}, [] { return digest; } } };
    second.replaceAll({ entryVm("atl", 0), entryVm("atl", 1), entryVm("sav", 0) });
    fleet.leave();
    channel = {};
    second.start();
    BOOST_TEST(isDigestSentTo("sav"));
    channel = {};
    second.receive(fromFirst);
    time.runFor(EntryFleet::EntryFleet::heartbeatInterval);
    BOOST_TEST(!isDigestSentTo("sav"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatHearsOfQuarantinedRequests)

BOOST_AUTO_TEST_CASE(LearnsWhomToAsk)
{
    EntryFleet::Heartbeat heartbeat { Core::EntryVmId("sav-2"), Core::ProcessStartId(1) };
    fleet.receive(heartbeat);
    BOOST_TEST(received.empty());
    heartbeat.quarantine = digest;
    fleet.receive(heartbeat);
    BOOST_TEST_REQUIRE(received.size() == 1U);
    BOOST_TEST(received.front().first == Core::Address("sav-2:82"));
    BOOST_TEST(received.front().second == digest);
}

BOOST_AUTO_TEST_CASE(ReadsTheDigestFromTheDatagram)
{
    EntryFleet::Heartbeat heartbeat { Core::EntryVmId("sav-2"), Core::ProcessStartId(1) };
    heartbeat.introduction = entryVm("sav", 2);
    heartbeat.quarantine = digest;
    const auto decoded = DatagramPeer::decodeHeartbeat(DatagramPeer::encodeHeartbeat(heartbeat));
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->quarantine == digest);
    heartbeat.quarantine = noDigest;
    BOOST_TEST(DatagramPeer::decodeHeartbeat(DatagramPeer::encodeHeartbeat(heartbeat))->quarantine == noDigest);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
