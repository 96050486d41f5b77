#include "forwardinghost/listeners.h"
#include "support/virtualtime.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace {

class EventRecorder : public Ports::EventSink {
public:
    auto record(Ports::Event event) -> void override { kinds.push_back(event.kind.value()); }
    [[nodiscard]] auto count(const std::string& kind) const -> std::ptrdiff_t
    {
        return std::count(kinds.begin(), kinds.end(), kind);
    }

    std::vector<std::string> kinds;
};

/// Decodes the text of a configuration item as its version, that of an upstream's item as its service, and that of an
/// entry VM's item as its start. Rejects empty texts.
class VersionCodec : public ForwardingHost::PlatformCodec {
public:
    [[nodiscard]] auto collections() const -> ForwardingHost::CollectionNames override { return {}; }
    [[nodiscard]] auto configurationName() const -> std::string override { return "current"; }
    [[nodiscard]] auto decodeConfiguration(const Ports::CollectionItem& item) const
        -> Core::Result<std::shared_ptr<const Forwarding::RoutingConfiguration>> override
    {
        if (item.text.empty())
            return Core::fail(Core::ErrorKind::InvalidMessage, "the item is empty", "store the configuration again");
        auto configuration = std::make_shared<Forwarding::RoutingConfiguration>();
        configuration->version = Core::Version(std::stoull(item.text));
        return configuration;
    }
    [[nodiscard]] auto decodeUpstream(const Ports::CollectionItem& item, Core::Instant) const
        -> Core::Result<Forwarding::UpstreamEntry> override
    {
        if (item.text.empty())
            return Core::fail(Core::ErrorKind::InvalidMessage, "the item is empty", "list the upstream again");
        Forwarding::UpstreamEntry entry;
        entry.target.id = Core::UpstreamId(item.name);
        entry.service = Core::ServiceId(item.text);
        return entry;
    }
    [[nodiscard]] auto decodeEntryVm(const Ports::CollectionItem& item) const
        -> Core::Result<EntryFleet::EntryVmEntry> override
    {
        if (item.text.empty())
            return Core::fail(Core::ErrorKind::InvalidMessage, "the item is empty", "register the VM again");
        EntryFleet::EntryVmEntry entry;
        entry.id = Core::EntryVmId(item.name);
        entry.start = Core::ProcessStartId(std::stoll(item.text));
        return entry;
    }
    [[nodiscard]] auto encodeEntryVm(const EntryFleet::EntryVmEntry&) const -> Ports::CollectionItem override
    {
        return {};
    }
};

auto item(const std::string& name, const std::string& text = {}) -> Ports::CollectionItem
{
    return { name, Ports::StoreRevision(1), text };
}

/// Item of a store that has returned from an older copy.
auto returnedItem(const std::string& name, const std::string& text = {}) -> Ports::CollectionItem
{
    return { name, Ports::StoreRevision(1, Ports::StoreEra(1)), text };
}

auto returnedList(std::vector<Ports::CollectionItem> items) -> Ports::CollectionList
{
    return { std::move(items), Ports::StoreRevision(1, Ports::StoreEra(1)) };
}

/// Sends no heartbeats.
class NullChannel : public EntryFleet::HeartbeatPort {
public:
    auto send(const Core::Address&, const EntryFleet::Heartbeat&) -> void override { }
};

auto ownEntry() -> EntryFleet::EntryVmEntry
{
    EntryFleet::EntryVmEntry entry;
    entry.id = Core::EntryVmId("vm1");
    entry.start = Core::ProcessStartId(7);
    return entry;
}

auto listOf(std::vector<Ports::CollectionItem> items) -> Ports::CollectionList
{
    return { std::move(items), Ports::StoreRevision(1) };
}

struct ListenerFixture {
    TestSupport::VirtualTime time;
    EventRecorder events;
    VersionCodec codec;
    std::uint64_t version = 0;
    Forwarding::EvacuatedDomains evacuated;
    ForwardingHost::ConfigurationListener configurations { { codec, time, events },
        [this](const auto& configuration) { version = configuration->version.value(); } };
    Forwarding::UpstreamEntries known;
    Forwarding::UpstreamRegistry registry { { time, time, events },
        [this](const Forwarding::UpstreamEntries& entries) { known = entries; } };
    ForwardingHost::UpstreamListener upstreams { { codec, time, events }, registry };
    ForwardingHost::EvacuationListener evacuations { { codec, time, events },
        [this](const Forwarding::EvacuatedDomains& domains) { evacuated = domains; } };
    NullChannel channel;
    EntryFleet::EntryFleet fleet { ownEntry(), { time, time, events, channel } };
    int fleetChanges = 0;
    ForwardingHost::EntryVmListener entryVms { { codec, time, events }, fleet, [this] { ++fleetChanges; } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnEntryVm, ListenerFixture)

BOOST_AUTO_TEST_SUITE(ThatReceivesConfigurations)

BOOST_AUTO_TEST_CASE(AppliesOnlyNewerOnes)
{
    configurations.replaceAll(listOf({ item("current", "7") }));
    configurations.upsert(item("current", "5"));
    BOOST_TEST(version == 7U);
    configurations.upsert(item("another", "9"));
    BOOST_TEST(version == 7U);
    configurations.upsert(item("current", "8"));
    BOOST_TEST(version == 8U);
}

BOOST_AUTO_TEST_CASE(KeepsTheCurrentOneAfterAnInvalidUpdateOrARemoval)
{
    configurations.replaceAll(listOf({ item("current", "7") }));
    configurations.upsert(item("current"));
    configurations.remove("current");
    BOOST_TEST(version == 7U);
    BOOST_TEST(events.count("store.item-refused") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatReceivesAnUnreadableEntryOfAnUpstream)

BOOST_AUTO_TEST_CASE(KeepsTheOthersInForce)
{
    upstreams.replaceAll(listOf({ item("u1", "stock"), item("u2"), item("u3", "stock") }));
    upstreams.commit();
    BOOST_TEST(known.size() == 2U);
}

BOOST_AUTO_TEST_CASE(NoLongerUsesTheUpstreamThatItReplaces)
{
    upstreams.replaceAll(listOf({ item("u1", "stock"), item("u2", "stock") }));
    upstreams.upsert(item("u2"));
    upstreams.commit();
    BOOST_TEST(known.size() == 1U);
    upstreams.upsert(item("u2", "stock"));
    upstreams.commit();
    BOOST_TEST(known.size() == 2U);
}

BOOST_AUTO_TEST_CASE(RecordsEachRevisionOnce)
{
    for (int listing = 0; listing < 3; ++listing)
        upstreams.replaceAll(listOf({ item("u1") }));
    BOOST_TEST(events.count("store.item-refused") == 1);
    upstreams.upsert({ "u1", Ports::StoreRevision(2), {} });
    BOOST_TEST(events.count("store.item-refused") == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatReceivesEvacuations)

BOOST_AUTO_TEST_CASE(RecordsEachStartAndEndOnce)
{
    evacuations.replaceAll(listOf({ item("atl-a") }));
    evacuations.replaceAll(listOf({ item("atl-a"), item("atl-b") }));
    evacuations.upsert(item("atl-b"));
    evacuations.commit();
    BOOST_TEST(evacuated.size() == 2U);
    BOOST_TEST(events.count("evacuation.started") == 2);
    evacuations.replaceAll(listOf({}));
    evacuations.commit();
    BOOST_TEST(evacuated.empty());
    BOOST_TEST(events.count("evacuation.ended") == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseStoreReturnsFromAnOlderCopy)

BOOST_AUTO_TEST_CASE(KeepsAConfigurationOfALaterVersionInForceAndSaysSo)
{
    configurations.replaceAll(listOf({ item("current", "7") }));
    configurations.mergeReturned(returnedList({ returnedItem("current", "5") }));
    BOOST_TEST(version == 7U);
    BOOST_TEST(events.count("configuration.kept") == 1);
    BOOST_TEST(events.count("configuration.in-force") == 1);
}

BOOST_AUTO_TEST_CASE(KeepsAConfigurationThatTheCopyLacks)
{
    configurations.replaceAll(listOf({ item("current", "7") }));
    configurations.mergeReturned(returnedList({}));
    configurations.remove("current");
    BOOST_TEST(version == 7U);
}

BOOST_AUTO_TEST_CASE(TakesTheConfigurationThatIsWrittenAfterwards)
{
    configurations.replaceAll(listOf({ item("current", "7") }));
    configurations.mergeReturned(returnedList({ returnedItem("current", "5") }));
    configurations.upsert(returnedItem("current", "7"));
    BOOST_TEST(events.count("configuration.in-force") == 1);
    BOOST_TEST(events.count("configuration.kept") == 1);
    configurations.upsert(returnedItem("current", "8"));
    BOOST_TEST(version == 8U);
}

BOOST_AUTO_TEST_CASE(TakesALaterConfigurationOfTheCopy)
{
    configurations.replaceAll(listOf({ item("current", "7") }));
    configurations.mergeReturned(returnedList({ returnedItem("current", "8") }));
    BOOST_TEST(version == 8U);
}

BOOST_AUTO_TEST_CASE(KeepsEvacuationsUntilTheyAreRemoved)
{
    evacuations.replaceAll(listOf({ item("atl-a"), item("atl-b") }));
    evacuations.mergeReturned(returnedList({ returnedItem("atl-a"), returnedItem("atl-c") }));
    evacuations.commit();
    BOOST_TEST(evacuated.size() == 3U);
    BOOST_TEST(events.count("evacuation.ended") == 0);
    BOOST_TEST(events.count("evacuation.started") == 3);
    evacuations.remove("atl-b");
    evacuations.commit();
    BOOST_TEST(!evacuated.contains(Core::FailureDomainId("atl-b")));
    BOOST_TEST(events.count("evacuation.ended") == 1);
}

BOOST_AUTO_TEST_CASE(KeepsUpstreamsUntilTheyAreRemoved)
{
    upstreams.replaceAll(listOf({ item("u1", "stock"), item("u2", "stock") }));
    upstreams.mergeReturned(returnedList({ returnedItem("u1", "stock"), returnedItem("u3") }));
    upstreams.commit();
    BOOST_TEST(known.size() == 2U);
    BOOST_TEST(events.count("store.item-refused") == 1);
    upstreams.remove("u2");
    upstreams.commit();
    BOOST_TEST(known.size() == 1U);
}

BOOST_AUTO_TEST_CASE(GivesUpstreamsTheEraOfTheirItems)
{
    upstreams.replaceAll(listOf({ item("u1", "stock") }));
    upstreams.mergeReturned(returnedList({ returnedItem("u1", "stock") }));
    upstreams.commit();
    BOOST_TEST(known.at(Core::UpstreamId("u1")).revision == Ports::StoreRevision(1, Ports::StoreEra(1)));
}

BOOST_AUTO_TEST_CASE(KeepsTheEntryVmsAndKnowsThatItsOwnEntryIsLost)
{
    entryVms.replaceAll(listOf({ item("vm1", "7"), item("vm2", "3") }));
    BOOST_REQUIRE(fleet.isSelfListed());
    entryVms.mergeReturned(returnedList({ returnedItem("vm3", "4") }));
    entryVms.commit();
    BOOST_TEST(fleetChanges == 1);
    BOOST_TEST(!fleet.isSelfListed());
    BOOST_TEST(fleet.knownCount() == 3U);
    entryVms.upsert(returnedItem("vm1", "7"));
    BOOST_TEST(fleet.isSelfListed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
