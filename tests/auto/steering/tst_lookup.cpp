#include "fakes.h"
#include "steering/clientblockloader.h"
#include "steering/lookupservice.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace Fakes;
using Steering::LookupTable;
using Steering::Site;

auto addressOf(std::uint8_t first, std::uint8_t second, std::uint8_t third) -> Core::ClientAddress
{
    return { Core::AddressFamily::IPv4, { first, second, third, 7 } };
}

auto rangeOf(const Core::ClientAddress& first, std::uint32_t count, std::uint16_t site) -> Steering::BlockRange
{
    return { Steering::blockOf(first), count, Steering::SiteIndex(site) };
}

auto tableOf(const std::vector<Site>& sites, const std::vector<Steering::BlockRange>& ranges)
    -> Core::Result<LookupTable>
{
    LookupTable::Builder builder(sites);
    const auto added = builder.add(ranges);
    if (!added)
        return tl::unexpected(added.error());
    return builder.finish();
}

const Core::FailureDomainId atl1 { "atl-1" };
const Core::FailureDomainId atl2 { "atl-2" };
const Core::FailureDomainId sav1 { "sav-1" };
const Steering::LookupPlanner::PreferenceOrder atlanta { atl1, atl2, sav1 };
const Steering::LookupPlanner::PreferenceOrder savannah { sav1, atl1, atl2 };
const std::vector<Site> sites { { "atlanta", atlanta }, { "savannah", savannah } };

struct ThreeFailureDomains {
    ThreeFailureDomains()
    {
        configuration = configurationWith(1, stockPolicy());
        table = *tableOf(sites, { rangeOf(addressOf(10, 0, 0), 10, 0), rangeOf(addressOf(10, 1, 0), 10, 1) });
        for (const auto* domain : { "atl-1", "atl-2", "sav-1" })
            addVms(domain);
    }

    auto addVms(const std::string& domain) -> void
    {
        for (const auto* vm : { "-a", "-b", "-c" })
            members.push_back(memberOf(domain + vm, domain, domain.substr(0, 3), loadOf(10, 5)));
    }

    auto plan() -> void { (void)planner.plan(clock.time, configuration, members, table, 0); }
    auto planAfterOneLifetime() -> void
    {
        clock.time += configuration.lookupLifetime;
        plan();
    }
    auto share(const Core::FailureDomainId& domain,
        const Steering::LookupPlanner::PreferenceOrder& preference = atlanta) -> double
    {
        const auto shares = planner.shares(stock, preference);
        const auto found = shares.find(domain);
        return found == shares.end() ? 0 : found->second;
    }
    auto set(const std::string& domain, const std::function<void(Membership::Member&)>& change) -> void
    {
        for (auto& member : members) {
            if (member.vm.failureDomain.value() == domain)
                change(member);
        }
    }

    VirtualClock clock;
    Configuration::SteeringConfiguration configuration;
    LookupTable table;
    std::vector<Membership::Member> members;
    Steering::LookupPlanner planner { atl1, Core::RegionId("atl") };
};

struct LookupServiceFixture : ThreeFailureDomains {
    LookupServiceFixture()
    {
        holder.offer(configuration);
        membership.list = members;
        tables.replace(table);
    }

    VirtualClock time;
    SeededRandom random;
    Configuration::ConfigurationHolder holder;
    Fleet::FleetHolder fleet;
    FixedMembership membership;
    Steering::LookupTableHolder tables;
    Steering::LookupService service { { time, random, holder, fleet, membership, tables }, atl1,
        Core::RegionId("atl") };
};

/// Answers reads from a map; reads of other names fail as unreachable.
class MapObjectStore : public Ports::ObjectStore {
public:
    auto read(const std::string& name, ObjectCallback callback) -> void override
    {
        const auto found = objects.find(name);
        if (found == objects.end())
            callback(Core::fail(Core::ErrorKind::Unreachable, "down", ""));
        else
            callback(Ports::StoredObject { Core::Version(1), found->second });
    }
    auto write(const std::string&, Core::Version, std::string, VersionCallback) -> void override { }
    auto watch(const std::string&, Core::Version, Core::Duration, ObjectCallback) -> void override { }

    std::map<std::string, std::string> objects;
};

class ManualScheduler : public Ports::Scheduler {
public:
    auto post(Task task) -> void override { tasks.push_back(std::move(task)); }
    auto after(Core::Duration, Task task) -> std::unique_ptr<Ports::Timer> override
    {
        tasks.push_back(std::move(task));
        return nullptr;
    }

    std::vector<Task> tasks;
};

/// Decodes a manifest "NAME" to a table with two chunks, and a chunk "N" to the block 10.0.N.0 of site 0.
class TestDecoder : public Steering::ClientBlockDecoder {
public:
    [[nodiscard]] auto manifest(const std::string& text) const -> Core::Result<Steering::ClientBlockManifest> override
    {
        return Steering::ClientBlockManifest { text, 2, sites };
    }
    [[nodiscard]] auto chunk(const std::string& text) const -> Core::Result<std::vector<Steering::BlockRange>> override
    {
        return std::vector { rangeOf(addressOf(10, 0, static_cast<std::uint8_t>(std::stoi(text))), 1, 0) };
    }
};

struct ClientBlockLoaderFixture {
    MapObjectStore store;
    ManualScheduler scheduler;
    NullEventSink events;
    TestDecoder decoder;
    Steering::LookupTableHolder tables;
    std::shared_ptr<Steering::ClientBlockLoader> loader = std::make_shared<Steering::ClientBlockLoader>(
        Steering::ClientBlockLoader::Dependencies { store, scheduler, events, decoder, tables });
};

} // namespace

BOOST_AUTO_TEST_SUITE(ATableOfClientBlocks)

BOOST_AUTO_TEST_CASE(FindsTheSiteOfEveryBlockAndNoOther)
{
    std::vector<Steering::BlockRange> ranges;
    for (std::uint64_t block = 0; block < 1000; ++block) {
        ranges.push_back({ { Core::AddressFamily::IPv4, block * 3 }, 1,
            Steering::SiteIndex(static_cast<std::uint16_t>(block % 2)) });
        ranges.push_back({ { Core::AddressFamily::IPv6, block * 5 }, 2, Steering::SiteIndex(1) });
    }
    const auto table = tableOf(sites, ranges);
    BOOST_REQUIRE(table);
    BOOST_TEST(table->blockCount() == 3000U);
    for (std::uint64_t block = 0; block < 3100; ++block) {
        const auto ipv4 = table->find({ Core::AddressFamily::IPv4, block });
        BOOST_TEST(ipv4.has_value() == (block % 3 == 0 && block < 3000));
        if (ipv4)
            BOOST_TEST(ipv4->value() == block / 3 % 2);
        const auto ipv6 = table->find({ Core::AddressFamily::IPv6, block });
        BOOST_TEST(ipv6.has_value() == (block % 5 < 2));
    }
}

BOOST_AUTO_TEST_CASE(KeepsTheAddressFamiliesApart)
{
    const auto table = tableOf(sites, { rangeOf(addressOf(10, 0, 0), 1, 0) });
    BOOST_TEST(!table->find({ Core::AddressFamily::IPv6, Steering::blockOf(addressOf(10, 0, 0)).prefix }));
}

BOOST_AUTO_TEST_CASE(IsRejectedIfABlockHasTwoSitesOrAnUnknownSite)
{
    BOOST_TEST(!tableOf(sites, { rangeOf(addressOf(10, 0, 0), 2, 0), rangeOf(addressOf(10, 0, 1), 1, 1) }));
    BOOST_TEST(!tableOf(sites, { rangeOf(addressOf(10, 0, 0), 1, 2) }));
    BOOST_TEST(!tableOf(sites, { rangeOf(addressOf(255, 255, 255), 2, 0) }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(LoadingTheTable, ClientBlockLoaderFixture)

BOOST_AUTO_TEST_CASE(KeepsTheOldTableUntilTheNextIsComplete)
{
    store.objects["steering/client-blocks/a/0"] = "1";
    loader->loadTable({ Core::Version(1), "a" });
    BOOST_TEST(tables.current()->blockCount() == 0U);
    store.objects["steering/client-blocks/a/1"] = "2";
    BOOST_REQUIRE(scheduler.tasks.size() == 1U);
    scheduler.tasks[0]();
    BOOST_TEST(tables.current()->blockCount() == 2U);
}

BOOST_AUTO_TEST_CASE(CancelsALoadSupersededByALaterManifest)
{
    loader->loadTable({ Core::Version(1), "a" });
    for (const auto* name : { "a/0", "b/0", "b/1" })
        store.objects["steering/client-blocks/" + std::string(name)] = name[2] == '0' ? "1" : "2";
    loader->loadTable({ Core::Version(2), "b" });
    const auto loaded = tables.current();
    BOOST_TEST(loaded->blockCount() == 2U);
    store.objects["steering/client-blocks/a/1"] = "3";
    scheduler.tasks.at(0)();
    BOOST_TEST((tables.current() == loaded));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(TheSharesOfFailureDomains, ThreeFailureDomains)

BOOST_AUTO_TEST_CASE(GoToTheNearestOfEachSiteWhileItHasCapacity)
{
    plan();
    BOOST_TEST(share(atl1) == 1.0);
    BOOST_TEST(share(sav1, savannah) == 1.0);
    BOOST_TEST(share(atl1, {}) == 1.0);
}

BOOST_AUTO_TEST_CASE(MoveToTheNextInCappedStepsWhenTheNearestIsLoaded)
{
    plan();
    set("atl-1", [](Membership::Member& member) { member.loads = { loadOf(10, 10, 5) }; });
    planAfterOneLifetime();
    BOOST_TEST(share(atl1) == 0.9, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(share(atl2) == 0.1, boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_SUITE(OnAPlannedMove)

BOOST_AUTO_TEST_CASE(ChangeAtMostByTheCapPerLifetimeHoweverOftenTheyAreComputed)
{
    plan();
    configuration.drained = { atl1 };
    double before = share(atl1);
    for (int lifetime = 0; lifetime < 12; ++lifetime) {
        clock.time += configuration.lookupLifetime;
        for (int repeat = 0; repeat < 5; ++repeat)
            plan();
        BOOST_TEST(before - share(atl1) <= 0.1 + 1e-6);
        before = share(atl1);
    }
    BOOST_TEST(share(atl1) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfADrainedFailureDomain)

BOOST_AUTO_TEST_CASE(ReachZeroInAsManyLifetimesAsTheCapNeedsEvenIfOtherLoadsChange)
{
    plan();
    configuration.drained = { atl1 };
    for (int lifetime = 0; lifetime < 10; ++lifetime) {
        const auto isOdd = lifetime % 2 == 1;
        set("atl-2", [isOdd](Membership::Member& member) { member.loads = { loadOf(10, isOdd ? 10 : 0) }; });
        planAfterOneLifetime();
    }
    BOOST_TEST(share(atl1) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheNearestIsLost)

BOOST_AUTO_TEST_CASE(LeaveItAtOnceAndReturnInCappedSteps)
{
    plan();
    set("atl-1", [](Membership::Member& member) { member.health = Membership::MemberHealth::Suspected; });
    plan();
    BOOST_TEST(share(atl1) == 0.0);
    BOOST_TEST(share(atl2) == 1.0);
    set("atl-1", [](Membership::Member& member) { member.health = Membership::MemberHealth::Alive; });
    plan();
    BOOST_TEST(share(atl1) == 0.0);
    planAfterOneLifetime();
    BOOST_TEST(share(atl1) == 0.1, boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(StayWithTheLocalFailureDomainWhenNoOtherIsAlive)
{
    std::erase_if(members, [](const auto& member) { return member.vm.failureDomain != atl1; });
    plan();
    BOOST_TEST(share(atl1, savannah) == 1.0);
}

BOOST_AUTO_TEST_CASE(AvoidAFailureDomainWithoutUsableUpstreams)
{
    set("atl-1", [](Membership::Member& member) { member.loads = { loadOf(0, 0) }; });
    plan();
    BOOST_TEST(share(atl2) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ALookUpAnswer, LookupServiceFixture)

BOOST_AUTO_TEST_CASE(NamesSeveralEntryVmsOfTheClientsSiteWithTheirKeyPrefixes)
{
    auto next = configurationWith(2, stockPolicy(false));
    holder.offer(next);
    const auto answer = service.lookup({ stock, addressOf(10, 1, 3) });
    BOOST_REQUIRE(answer);
    BOOST_REQUIRE(answer->targets.size() == 3U);
    double sum = 0;
    for (const auto& target : answer->targets) {
        BOOST_TEST((target.failureDomain == sav1));
        BOOST_TEST(target.keyPrefix == target.vm.value() + "-prefix");
        sum += target.weight.value();
    }
    BOOST_TEST(sum == 1.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(NeverNamesALeavingOrSuspectedEntryVm)
{
    membership.list[0].health = Membership::MemberHealth::Leaving;
    membership.list[1].health = Membership::MemberHealth::Suspected;
    for (int repeat = 0; repeat < 100; ++repeat) {
        const auto answer = service.lookup({ stock, std::nullopt });
        BOOST_REQUIRE(answer->targets.size() == 1U);
        BOOST_TEST(answer->targets[0].vm.value() == "atl-1-c");
    }
}

BOOST_AUTO_TEST_CASE(UsesThePlatformsListWhileMembershipIsEmpty)
{
    Fleet::FleetList list { Core::Version(1), {}, {} };
    list.entryVms = { memberOf("sav-1-a", "sav-1", "sav", loadOf(1, 0)).vm,
        memberOf("sav-1-b", "sav-1", "sav", loadOf(1, 0)).vm };
    list.entryVms[1].state = Fleet::MemberState::Leaving;
    fleet.offer(list);
    membership.list.clear();
    const auto answer = service.lookup({ stock, std::nullopt });
    BOOST_REQUIRE(answer);
    BOOST_REQUIRE(answer->targets.size() == 1U);
    BOOST_TEST(answer->targets[0].vm.value() == "sav-1-a");
}

BOOST_AUTO_TEST_CASE(DrawsFailureDomainsByTheirShares)
{
    auto next = configuration;
    next.version = Core::Version(2);
    next.weights = { { atl1, 0.3 } };
    holder.offer(next);
    double weight = 0;
    constexpr int draws = 3000;
    for (int repeat = 0; repeat < draws; ++repeat) {
        const auto answer = service.lookup({ stock, std::nullopt });
        for (const auto& target : answer->targets)
            weight += target.failureDomain == atl1 ? target.weight.value() : 0;
    }
    BOOST_TEST(weight / draws == 0.3, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(FailsWithNotFoundForAServiceThatIsNotInForce)
{
    const auto answer = service.lookup({ Core::ServiceId("tents"), std::nullopt });
    BOOST_REQUIRE(!answer);
    BOOST_TEST((answer.error().kind == Core::ErrorKind::NotFound));
}

BOOST_AUTO_TEST_SUITE_END()
