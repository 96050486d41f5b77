#include "core/invariant.h"
#include "fakes.h"
#include "steering/creditgrantor.h"
#include "steering/creditpool.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace Fakes;
using Steering::Redemption;

const Core::FailureDomainId sav1 { "sav-1" };

struct Destination {
    Destination()
    {
        configuration.offer(configurationWith(1, stockPolicy()));
        loads.loads = { loadOf(10, 2, 1) };
    }

    auto request(std::uint32_t wanted) -> Steering::CreditGrant { return grantor.grant({ sav1, stock, wanted }); }
    auto redeem(const Steering::CreditGrant& grant, std::uint32_t index) -> Redemption
    {
        return grantor.redeem({ grant.id, index }, sav1, stock);
    }

    VirtualClock clock;
    SeededRandom random;
    Configuration::ConfigurationHolder configuration;
    FixedLoads loads;
    Steering::CreditGrantor grantor { { clock, random, configuration, loads }, Core::FailureDomainId("atl-1") };
};

struct Source {
    Source()
    {
        auto start = configurationWith(1, stockPolicy());
        start.movementCap = Core::Share(1);
        configuration.offer(start);
        Fleet::FleetList list { Core::Version(1), {}, {} };
        list.entryVms.push_back(memberOf("sav-1-a", "sav-1", "sav", loadOf(1, 1)).vm);
        fleet.offer(list);
        membership.list = { memberOf("atl-1-a", "atl-1", "atl", loadOf(10, 0)),
            memberOf("sav-2-a", "sav-2", "sav", loadOf(10, 5)) };
    }

    auto offer(const std::function<void(Configuration::SteeringConfiguration&)>& change) -> void
    {
        auto next = *configuration.current();
        next.version = Core::Version(next.version.value() + 1);
        change(next);
        configuration.offer(next);
    }

    auto acquire(Core::Bytes size = Core::Bytes(100)) -> void
    {
        pool.countArrival();
        pool.acquire(stockPolicy(), size, [this](std::optional<Steering::HeldCredit> credit) {
            (credit ? credits : refused).push_back(std::move(credit));
        });
    }

    static auto grantOf(std::uint64_t id, std::uint32_t count) -> Steering::CreditGrant
    {
        return { Steering::GrantId(id), count, Core::Millis(500) };
    }

    VirtualClock clock;
    Configuration::ConfigurationHolder configuration;
    SeededRandom random;
    Fleet::FleetHolder fleet;
    FixedMembership membership;
    ManualCreditPort port;
    Steering::RelayCandidates candidates { membership, clock, Core::EntryVmId("sav-1-a") };
    Steering::LinkShares links { configuration, fleet, Core::RegionId("sav") };
    Steering::CreditPool pool { { clock, configuration, candidates, links, port }, sav1, Core::RegionId("sav") };
    std::vector<std::optional<Steering::HeldCredit>> credits;
    std::vector<std::optional<Steering::HeldCredit>> refused;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ADestination)

BOOST_FIXTURE_TEST_SUITE(WithHeadroom, Destination)

BOOST_AUTO_TEST_CASE(GrantsAtMostHalfOfItToOneRequest)
{
    BOOST_TEST(request(100).count == 3U);
    BOOST_TEST(request(100).count == 2U);
}

BOOST_AUTO_TEST_CASE(NeverGrantsMoreThanItsHeadroomWhenRequestsAreRepeated)
{
    std::uint32_t granted = 0;
    for (int copy = 0; copy < 50; ++copy)
        granted += request(100).count;
    BOOST_TEST(granted == 7U);
}

BOOST_AUTO_TEST_CASE(OffersTheHeadroomOfLostCreditsAgainAfterTheyExpire)
{
    while (request(100).count > 0) { }
    clock.time += Core::Millis(1000);
    BOOST_TEST(request(100).count > 0U);
}

BOOST_AUTO_TEST_CASE(AcceptsEachCreditOnce)
{
    const auto grant = request(2);
    BOOST_TEST((redeem(grant, 0) == Redemption::Accepted));
    BOOST_TEST((redeem(grant, 0) == Redemption::PossibleDuplicate));
    BOOST_TEST((redeem(grant, grant.count) == Redemption::Invalid));
    clock.time += Core::Millis(2000);
    BOOST_TEST((redeem(grant, 0) == Redemption::PossibleDuplicate));
}

BOOST_AUTO_TEST_CASE(AcceptsACreditFromItsOwnSourceAndServiceOnly)
{
    const auto grant = request(2);
    BOOST_TEST((grantor.redeem({ grant.id, 0 }, Core::FailureDomainId("mac-1"), stock) == Redemption::Invalid));
    BOOST_TEST((grantor.redeem({ grant.id, 0 }, sav1, Core::ServiceId("audit")) == Redemption::PossibleDuplicate));
}

BOOST_AUTO_TEST_CASE(RefusesAnExpiredCredit)
{
    const auto grant = request(1);
    clock.time += Core::Millis(1000);
    BOOST_TEST((redeem(grant, 0) == Redemption::Invalid));
}

BOOST_AUTO_TEST_CASE(RefusesACreditWhenItsOwnWorkUsesTheHeadroom)
{
    const auto grant = request(1);
    loads.loads = { loadOf(10, 10) };
    BOOST_TEST((redeem(grant, 0) == Redemption::HeadroomExhausted));
}

BOOST_AUTO_TEST_CASE(CountsRedeemedRequestsUntilTheDispatcherCountsThem)
{
    loads.loads = { loadOf(2, 0) };
    const auto first = request(1);
    const auto second = request(1);
    loads.loads = { loadOf(2, 1) };
    BOOST_TEST((redeem(first, 0) == Redemption::Accepted));
    BOOST_TEST((redeem(second, 0) == Redemption::HeadroomExhausted));
    grantor.markDispatched(stock);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatIsDrained, Destination)

BOOST_AUTO_TEST_CASE(GrantsNothing)
{
    auto drained = configurationWith(2, stockPolicy());
    drained.drained = { Core::FailureDomainId("atl-1") };
    configuration.offer(drained);
    BOOST_TEST(request(5).count == 0U);
}

BOOST_AUTO_TEST_CASE(VoidsItsOpenCreditsWhenItStops)
{
    const auto grant = request(1);
    grantor.stopGranting();
    BOOST_TEST(request(5).count == 0U);
    BOOST_TEST((redeem(grant, 0) == Redemption::Invalid));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhoseUpstreamsReturn, Destination)

BOOST_AUTO_TEST_CASE(OffersItsHeadroomGradually)
{
    auto next = configurationWith(2, stockPolicy());
    next.slowStart = Core::Millis(1000);
    configuration.offer(next);
    loads.loads = { loadOf(0, 0) };
    BOOST_TEST(request(100).count == 0U);
    loads.loads = { loadOf(100, 0) };
    BOOST_TEST(request(100).count == 0U);
    clock.time += Core::Millis(100);
    BOOST_TEST(request(100).count == 5U);
    clock.time += Core::Millis(1000);
    BOOST_TEST(request(100).count == 50U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ASource, Source)

BOOST_AUTO_TEST_CASE(RequestsCreditsFromItsOwnRegionFirst)
{
    acquire();
    BOOST_REQUIRE(port.requests.size() == 2U);
    BOOST_TEST(port.requests[0].destination.value() == "sav-2-a");
    BOOST_TEST(port.requests[1].destination.value() == "atl-1-a");
}

BOOST_AUTO_TEST_CASE(RequestsCreditsOnceForManyWaitingRequests)
{
    for (int request = 0; request < 20; ++request)
        acquire();
    BOOST_TEST(port.requests.size() == 2U);
    port.requests[0].callback(grantOf(5, 20));
    BOOST_TEST(credits.size() == 20U);
}

BOOST_AUTO_TEST_CASE(UsesEachCreditOnceEvenIfTheGrantArrivesTwice)
{
    for (int request = 0; request < 5; ++request)
        acquire();
    port.requests[0].callback(grantOf(5, 3));
    port.requests[0].callback(grantOf(5, 3));
    port.requests[1].callback(grantOf(0, 0));
    BOOST_TEST(credits.size() == 3U);
    BOOST_TEST(refused.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ContinuesWithoutCreditsWhenEveryGrantIsLost)
{
    acquire();
    for (auto& pending : port.requests)
        pending.callback(Core::fail(Core::ErrorKind::Timeout, "lost", ""));
    BOOST_TEST(refused.size() == 1U);
    acquire();
    BOOST_TEST(refused.size() == 2U);
    BOOST_TEST(port.requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(CountsTheLifetimeOfACreditFromItsRequest)
{
    acquire();
    clock.time += Core::Millis(500);
    port.requests[0].callback(grantOf(5, 3));
    port.requests[1].callback(grantOf(0, 0));
    BOOST_TEST(credits.empty());
    BOOST_TEST(refused.size() == 1U);
}

BOOST_AUTO_TEST_CASE(SendsNothingToADrainedFailureDomain)
{
    acquire();
    offer([](auto& next) { next.drained = { Core::FailureDomainId("sav-2") }; });
    port.requests[0].callback(grantOf(5, 3));
    port.requests[1].callback(grantOf(6, 3));
    BOOST_REQUIRE(credits.size() == 1U);
    BOOST_TEST(credits[0]->destination.id.value() == "atl-1-a");
}

BOOST_AUTO_TEST_CASE(KeepsTheMovementCapInEachInterval)
{
    offer([](auto& next) { next.movementCap = Core::Share(0.1); });
    membership.list = { memberOf("atl-1-a", "atl-1", "atl", loadOf(10, 0)) };
    std::vector<std::size_t> moved;
    for (int interval = 0; interval < 3; ++interval) {
        for (int request = 0; request < 100; ++request) {
            acquire();
            while (!port.requests.empty()) {
                const auto pending = std::move(port.requests.front());
                port.requests.erase(port.requests.begin());
                pending.callback(grantOf(random.next(), 64));
            }
        }
        moved.push_back(credits.size());
        clock.time += Core::Millis(2000);
    }
    BOOST_TEST(moved == (std::vector<std::size_t> { 10, 30, 60 }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(KeepsTheBudgetOfTheLink)
{
    membership.list = { memberOf("atl-1-a", "atl-1", "atl", loadOf(10, 0)) };
    // Half of 1.6 Mbit/s is 10,000 bytes in a window of 100 ms.
    offer([](auto& next) { next.linkBudgets = { { Core::RegionId("sav"), Core::RegionId("atl"), Core::Mbit(1.6) } }; });
    for (int request = 0; request < 3; ++request)
        acquire(Core::Bytes(4000));
    port.requests.at(0).callback(grantOf(5, 10));
    BOOST_TEST(credits.size() == 2U);
    clock.time += Core::Millis(100);
    acquire(Core::Bytes(4000));
    BOOST_TEST(credits.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ALinkBetweenRegions)

BOOST_AUTO_TEST_CASE(ServesUrgentWorkFirstAndKeepsTheFloorOfOtherRanks)
{
    Steering::LinkBudget budget;
    const Steering::LinkBudget::Direction direction { Core::RegionId("sav"), Core::RegionId("atl") };
    // 100,000 bits in a window of 100 ms, of which a fifth is reserved for deferrable work.
    const Steering::LinkBudget::Limits limits { Core::Mbit(1), { 0, 0, 0.2 } };
    Core::Instant now;
    const auto take = [&](Core::Rank rank) { return budget.tryTake(direction, rank, Core::Bytes(1250), now, limits); };
    int urgent = 0;
    while (take(Core::Rank::Urgent))
        ++urgent;
    BOOST_TEST(urgent == 8);
    BOOST_TEST(!take(Core::Rank::Normal));
    BOOST_TEST(take(Core::Rank::Deferrable));
    now += Core::Millis(100);
    BOOST_TEST(!take(Core::Rank::Normal));
    BOOST_TEST(take(Core::Rank::Urgent));
}

BOOST_AUTO_TEST_CASE(SubtractsExcessRepliesFromTheNextWindows)
{
    Steering::LinkBudget budget;
    const Steering::LinkBudget::Direction direction { Core::RegionId("sav"), Core::RegionId("atl") };
    const Steering::LinkBudget::Limits limits { Core::Mbit(1), {} };
    Core::Instant now;
    budget.charge(direction, Core::Rank::Urgent, Core::Bytes(37'500), now, limits);
    now += Core::Millis(100);
    BOOST_TEST(!budget.hasCapacity(direction, Core::Rank::Urgent, now, limits));
    now += Core::Millis(200);
    BOOST_TEST(budget.hasCapacity(direction, Core::Rank::Urgent, now, limits));
}

BOOST_AUTO_TEST_SUITE_END()
