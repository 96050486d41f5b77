#include "virtualfleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iostream>

namespace {

using Fakes::ForwardingSite;

/// Bounds for VMs in touch, halved: in trouble, a change is to be known everywhere within these times.
constexpr Core::Millis halfOfConfigurationBound { 1500 };
constexpr Core::Millis calmDelay { 1000 };

struct LargeFleet : VirtualFleet {
    LargeFleet()
        : VirtualFleet(40)
    {
    }
};

auto callsPerSecond(std::size_t vmCount) -> double
{
    VirtualFleet fleet(vmCount);
    std::cout << vmCount << " VMs: " << fleet.site.store.calls() << " calls at the start, " << fleet.readers().size()
              << " readers\n";
    constexpr int seconds = 60;
    const auto before = fleet.site.store.calls();
    for (int second = 0; second < seconds; ++second) {
        if (second % 5 == 0)
            fleet.configure();
        fleet.site.world.runFor(Core::Millis(1000));
    }
    return static_cast<double>(fleet.site.store.calls() - before) / seconds;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReadsOfTheStore)

BOOST_AUTO_TEST_SUITE(OnACalmDay)

BOOST_AUTO_TEST_CASE(CostTheSameAtEverySize)
{
    const auto small = callsPerSecond(30);
    const auto middle = callsPerSecond(100);
    const auto large = callsPerSecond(300);
    std::cout << "calls a second at 30, 100, 300 VMs: " << small << ", " << middle << ", " << large << '\n';
    const auto [lowest, highest] = std::minmax({ small, middle, large });
    BOOST_TEST(highest < 1.5 * lowest);
}

BOOST_FIXTURE_TEST_CASE(AreMadeByTwoVmsOfEachRegion, LargeFleet) { BOOST_TEST(readers().size() == 4U); }

BOOST_FIXTURE_TEST_CASE(BringAChangeToTheLastVmWithinASecond, LargeFleet)
{
    for (int change = 0; change < 10; ++change) {
        BOOST_TEST((delayOfChange() < calmDelay));
        site.world.runFor(Core::Millis(137));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AtAStartOfTheWholeFleet)

BOOST_AUTO_TEST_CASE(ServeWithinSecondsFromTheStoreAlone)
{
    ForwardingSite site(1, 40);
    auto configuration = std::make_shared<Forwarding::RoutingConfiguration>();
    configuration->version = Core::Version(1);
    site.configure(configuration);
    for (std::size_t index = 0; index < 40; ++index)
        site.startVm(index);
    site.world.runFor(Core::Millis(2000));
    for (std::size_t index = 0; index < 40; ++index)
        BOOST_TEST(site.vm(index)->isReady());
    // Each VM registers and lists the fleet; a few read the rest.
    std::cout << "calls of 40 VMs that start at the same moment: " << site.store.calls() << '\n';
    BOOST_TEST(site.store.calls() < 4U * 40);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenTheVmsThatMakeThem, LargeFleet)

BOOST_AUTO_TEST_CASE(CrashGoOnAtOthers)
{
    for (const auto index : readers())
        site.crashVm(index);
    BOOST_TEST((delayOfChange() < halfOfConfigurationBound));
}

BOOST_AUTO_TEST_CASE(CrashOneAfterTheOtherGoOnAtOthers)
{
    for (int round = 0; round < 5; ++round) {
        site.crashVm(readers().front());
        BOOST_TEST((delayOfChange() < halfOfConfigurationBound));
        site.world.runFor(Core::Millis(700));
    }
}

BOOST_AUTO_TEST_SUITE(Pause)

BOOST_AUTO_TEST_CASE(GoOnAtOthers)
{
    site.pauseVm(readers().front());
    BOOST_TEST((delayOfChange() < halfOfConfigurationBound));
}

BOOST_AUTO_TEST_CASE(TakeNoCopyBackWhenTheyResume)
{
    const auto paused = readers();
    for (const auto index : paused)
        site.pauseVm(index);
    BOOST_TEST((delayOfChange() < 2 * halfOfConfigurationBound));
    site.world.runFor(Core::Millis(3000));
    for (const auto index : paused)
        site.resumeVm(index);
    for (int step = 0; step < 200; ++step) {
        site.world.runFor(Core::Millis(20));
        site.checkConfigurations();
    }
    BOOST_TEST(site.requestTracker.violations().empty());
    BOOST_TEST(outdated().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(AreCutFromTheirFollowersGoOnAtOthers)
{
    const auto reader = readers().front();
    for (std::size_t index = 0; index < size; ++index) {
        if (index != reader)
            site.world.cut(ForwardingSite::nodeOf(reader), ForwardingSite::nodeOf(index));
    }
    BOOST_TEST((delayOfChange() < halfOfConfigurationBound));
}

BOOST_AUTO_TEST_SUITE(LoseTheStore)

BOOST_AUTO_TEST_CASE(AtOneOfThemGoOnAtTheOther)
{
    site.denyStoreAccess(readers().front());
    BOOST_TEST((delayOfChange() < halfOfConfigurationBound));
}

BOOST_AUTO_TEST_CASE(AtAllOfThemGoOnAtOthers)
{
    for (const auto index : readers())
        site.denyStoreAccess(index);
    BOOST_TEST((delayOfChange() < 2 * halfOfConfigurationBound));
}

BOOST_AUTO_TEST_CASE(InTurnsGoOnAtOthers)
{
    for (int round = 0; round < 4; ++round) {
        for (const auto index : readers())
            site.denyStoreAccess(index);
        site.world.runFor(Core::Millis(4000));
    }
    BOOST_TEST((delayOfChange() < 3 * halfOfConfigurationBound));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenTheStore, LargeFleet)

BOOST_AUTO_TEST_CASE(ForgetsItsHistoryAreRepeated)
{
    site.dropHistory();
    site.world.runFor(Core::Millis(1500));
    BOOST_TEST((delayOfChange() < halfOfConfigurationBound));
}

BOOST_AUTO_TEST_CASE(IsAwayAreTriedByAFewAndGoOnAfterIt)
{
    const auto before = site.store.calls();
    site.setStoreFaults({ true, false, Core::Millis(4) });
    site.world.runFor(Core::Millis(6000));
    std::cout << "calls of 40 VMs in an outage of 6 s: " << site.store.calls() - before << '\n';
    site.healStore();
    BOOST_TEST((delayOfChange() < 2 * halfOfConfigurationBound));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenAVmIsCutFromAllOthers, LargeFleet)

BOOST_AUTO_TEST_CASE(AreMadeByThisVmItself)
{
    const auto vms = readers();
    std::size_t follower = 0;
    while (std::find(vms.begin(), vms.end(), follower) != vms.end())
        ++follower;
    for (std::size_t index = 0; index < size; ++index) {
        if (index != follower)
            site.world.cut(ForwardingSite::nodeOf(follower), ForwardingSite::nodeOf(index));
    }
    BOOST_TEST((delayOfChange() < 2 * halfOfConfigurationBound));
    BOOST_TEST(site.vm(follower)->sharedReads().isReadingStore());
    site.world.runFor(Core::Millis(30'000));
    BOOST_TEST((delayOfChange() < calmDelay));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
