#include "virtualfleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <iostream>

namespace {

namespace bdata = boost::unit_test::data;
using Fakes::ForwardingSite;

/// Time within which a VM in touch with the store has a configuration that was written after the store's return.
constexpr Core::Millis configurationBound { 2500 };
constexpr Core::Millis absence { 1000 };
/// Time for which the calls after a start or a return are counted.
constexpr Core::Millis countedTime { 5000 };
/// Configurations that the store loses.
constexpr int lostConfigurations = 20;

/// Fleet whose store goes away for a moment and returns from an older copy.
struct ReturningFleet : VirtualFleet {
    using VirtualFleet::VirtualFleet;

    auto writeWhatIsLost() -> void
    {
        site.keepStoreCopy();
        for (int count = 0; count < lostConfigurations; ++count) {
            configure();
            runFor(Core::Millis(50));
        }
    }

    auto returnStore() -> void
    {
        (void)site.returnStoreToCopy();
        site.healStore();
    }

    auto drill(bool forgetsWatches = false) -> void
    {
        writeWhatIsLost();
        site.takeStoreAway(forgetsWatches);
        runFor(absence);
        returnStore();
    }

    /// Lets the time pass and checks meanwhile that no configuration goes back.
    auto runFor(Core::Duration duration) -> void
    {
        constexpr Core::Millis step { 10 };
        for (Core::Duration passed {}; passed < duration; passed += step) {
            site.world.runFor(step);
            site.checkConfigurations();
        }
    }

    [[nodiscard]] auto wentWell() const -> bool
    {
        for (const auto& violation : site.requestTracker.violations())
            std::cout << violation << '\n';
        return site.requestTracker.violations().empty();
    }

    [[nodiscard]] auto countOfLogged(const std::string& text) const -> std::ptrdiff_t
    {
        const auto& log = site.runLog();
        return std::count_if(
            log.begin(), log.end(), [&text](const auto& line) { return line.find(text) != std::string::npos; });
    }

    [[nodiscard]] auto hasLogged(const std::string& text) const -> bool
    {
        const auto& log = site.runLog();
        return std::any_of(log.begin(), log.end(), [&text](const auto& line) { return line.ends_with(text); });
    }
};

struct FleetOfFive : ReturningFleet {
    FleetOfFive()
        : ReturningFleet(5)
    {
    }
};

struct FleetOfEighteen : ReturningFleet {
    FleetOfEighteen()
        : ReturningFleet(18)
    {
    }
};

auto callsOfFleetWideStart(std::size_t vmCount) -> std::size_t
{
    ForwardingSite site(1, vmCount);
    site.configure(std::make_shared<Forwarding::RoutingConfiguration>());
    for (std::size_t index = 0; index < vmCount; ++index)
        site.startVm(index);
    site.world.runFor(countedTime);
    return site.store.calls();
}

auto makeUpstream(const std::string& id) -> Forwarding::UpstreamEntry
{
    Forwarding::UpstreamEntry entry;
    entry.target = { Core::UpstreamId(id), Core::ProcessStartId(1), Core::Address("10.0.1." + id + ":80") };
    entry.slots = Core::SlotCount(4);
    return entry;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreThatReturnsFromAnOlderCopy)

BOOST_AUTO_TEST_SUITE(BringsAConfigurationWrittenRightAfterIt)

BOOST_DATA_TEST_CASE(ToAllVmsWithinTheBound, bdata::make({ 5, 12, 18, 84 }), size)
{
    ReturningFleet fleet(static_cast<std::size_t>(size));
    fleet.drill();
    const auto delay = fleet.delayOfChange();
    std::cout << size << " VMs: in force after " << std::chrono::duration_cast<Core::Millis>(delay).count() << " ms\n";
    BOOST_TEST((delay <= configurationBound));
    fleet.runFor(countedTime);
    BOOST_TEST(fleet.wentWell());
}

BOOST_DATA_TEST_CASE(AlthoughItForgetsTheWatches, bdata::make({ 5, 18 }), size)
{
    ReturningFleet fleet(static_cast<std::size_t>(size));
    fleet.drill(true);
    BOOST_TEST((fleet.delayOfChange() <= configurationBound));
    fleet.runFor(countedTime);
    BOOST_TEST(fleet.wentWell());
}

BOOST_FIXTURE_TEST_CASE(AlthoughItReturnsTwiceInARow, FleetOfFive)
{
    drill();
    runFor(Core::Millis(300));
    drill();
    BOOST_TEST((delayOfChange() <= configurationBound));
    BOOST_TEST(wentWell());
}

BOOST_FIXTURE_TEST_CASE(AlthoughTheVmsThatReadItCrashMeanwhile, FleetOfEighteen)
{
    writeWhatIsLost();
    site.takeStoreAway(false);
    runFor(absence);
    for (const auto index : readers())
        site.crashVm(index);
    returnStore();
    BOOST_TEST((delayOfChange() <= 2 * configurationBound));
    BOOST_TEST(wentWell());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TakesNoConfigurationBack)

BOOST_FIXTURE_TEST_CASE(BeforeItIsWrittenAgain, FleetOfEighteen)
{
    writeWhatIsLost();
    runFor(configurationBound);
    BOOST_TEST(outdated().empty());
    site.takeStoreAway(false);
    runFor(absence);
    returnStore();
    runFor(countedTime);
    BOOST_TEST(outdated().empty());
    BOOST_TEST(wentWell());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhileItTurnsAwayHalfOfTheVms)

BOOST_DATA_TEST_CASE(ServesTheOthersAndLaterAll, bdata::make({ 6, 18 }), size)
{
    ReturningFleet fleet(static_cast<std::size_t>(size));
    fleet.drill();
    for (std::size_t index = 0; index < fleet.size; index += 2)
        fleet.site.denyStoreAccess(index);
    fleet.configure();
    fleet.runFor(2 * configurationBound);
    for (std::size_t index = 1; index < fleet.size; index += 2)
        BOOST_TEST(fleet.isCurrent(index));
    fleet.site.healStore();
    BOOST_TEST((fleet.delayOfChange() <= configurationBound));
    BOOST_TEST(fleet.wentWell());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(MeetsAVm)

BOOST_DATA_TEST_CASE(ThatStartsWhileItIsAway, bdata::make({ 5, 18 }), size)
{
    ReturningFleet fleet(static_cast<std::size_t>(size));
    fleet.writeWhatIsLost();
    fleet.site.crashVm(2);
    fleet.site.takeStoreAway(false);
    fleet.runFor(absence / 2);
    fleet.site.startVm(2);
    fleet.runFor(absence / 2);
    fleet.returnStore();
    BOOST_TEST((fleet.delayOfChange() <= configurationBound));
    fleet.runFor(countedTime);
    BOOST_TEST(fleet.wentWell());
}

BOOST_DATA_TEST_CASE(ThatWakesWithAnAnswerOfTheEarlierEra, bdata::make({ 5, 18 }), size)
{
    ReturningFleet fleet(static_cast<std::size_t>(size));
    fleet.site.pauseVm(2);
    fleet.drill();
    fleet.runFor(Core::Millis(3000));
    fleet.configure();
    fleet.runFor(Core::Millis(3000));
    fleet.site.resumeVm(2);
    fleet.runFor(configurationBound);
    BOOST_TEST(fleet.outdated().empty());
    BOOST_TEST((fleet.delayOfChange() <= configurationBound));
    BOOST_TEST(fleet.wentWell());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatGivesOutTheLostRevisionAgain)

BOOST_DATA_TEST_CASE(KeepsTheUpstreamsThatItLostForAWhile, bdata::xrange(10), step)
{
    ReturningFleet fleet(5);
    fleet.runFor(Core::Millis(100 * step));
    fleet.site.keepStoreCopy();
    fleet.site.addUpstream(makeUpstream("1"), {});
    fleet.runFor(Core::Millis(50));
    fleet.site.takeStoreAway(true);
    fleet.returnStore();
    fleet.site.addUpstream(makeUpstream("2"), {});
    fleet.runFor(Core::Millis(550));
    fleet.site.addUpstream(makeUpstream("3"), {});
    fleet.runFor(Core::Millis(1000));
    BOOST_TEST(!fleet.hasLogged("upstream.left upstream=1 start=1 service= failureDomain= address=10.0.1.1:80"));
    BOOST_TEST(!fleet.hasLogged("upstream.given-up upstream=1 start=1 service= failureDomain= address=10.0.1.1:80"));
    BOOST_TEST(fleet.hasLogged("upstream.listed upstream=2 start=1 service= failureDomain= address=10.0.1.2:80"));
    fleet.site.listUpstream(Core::UpstreamId("1"), false);
    fleet.runFor(countedTime);
    BOOST_TEST(!fleet.hasLogged("upstream.left upstream=1 start=1 service= failureDomain= address=10.0.1.1:80"));
    BOOST_TEST(!fleet.hasLogged("upstream.given-up upstream=1 start=1 service= failureDomain= address=10.0.1.1:80"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HoldsWhatItMayHaveLost)

/// A VM whose list after the return came late held an upstream that had left for longer than leaving may take.
BOOST_DATA_TEST_CASE(NoLongerThanUntilItsVmsCountAsStable, bdata::xrange(20), step)
{
    ReturningFleet fleet(5);
    fleet.site.addUpstream(makeUpstream("1"), {});
    fleet.runFor(Core::Millis(1000));
    fleet.site.keepStoreCopy();
    fleet.site.takeStoreAway(false);
    fleet.runFor(Core::Millis(300 + 85 * step));
    fleet.returnStore();
    constexpr Core::Millis timeToLeave { 100 };
    fleet.runFor(timeToLeave);
    fleet.site.unlistUpstream(Core::UpstreamId("1"));
    fleet.runFor(ForwardingSite::stabilityTime - timeToLeave);
    const auto left
        = fleet.countOfLogged("upstream.left upstream=1 ") + fleet.countOfLogged("upstream.given-up upstream=1 ");
    BOOST_TEST(static_cast<std::size_t>(left) == fleet.size);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HasLostTheEntryOfAVm)

BOOST_DATA_TEST_CASE(ThatRegistersAgainOnceWhileTheOthersDoNot, bdata::make({ 5, 18 }), size)
{
    const auto last = static_cast<std::size_t>(size) - 1;
    ReturningFleet fleet(last + 1);
    fleet.site.crashVm(last);
    fleet.runFor(Core::Millis(1000));
    fleet.site.keepStoreCopy();
    fleet.site.startVm(last);
    fleet.runFor(Core::Millis(4000));
    BOOST_TEST(fleet.countOfLogged("registration.lost") == 0);
    BOOST_REQUIRE(fleet.site.vm(last)->fleet().isSelfListed());
    fleet.site.takeStoreAway(false);
    fleet.runFor(absence);
    fleet.returnStore();
    fleet.runFor(Core::Millis(6000));
    BOOST_TEST(fleet.site.vm(last)->fleet().isSelfListed());
    BOOST_TEST(fleet.countOfLogged("registration.lost") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsCalled)

auto checkCalls(std::size_t vmCount) -> void
{
    ReturningFleet fleet(vmCount);
    fleet.drill();
    const auto before = fleet.site.store.calls();
    fleet.configure();
    fleet.runFor(countedTime);
    const auto calls = fleet.site.store.calls() - before;
    const auto ofStart = callsOfFleetWideStart(vmCount);
    std::cout << vmCount << " VMs: " << calls << " calls in 5 s after the return, " << ofStart << " after a start\n";
    BOOST_TEST(calls <= ofStart);
}

BOOST_AUTO_TEST_CASE(NoMoreOftenThanAtAFleetWideStart) { checkCalls(12); }

/// Red (KNOWN-RED.txt): an outage of a second without a loss takes as many calls.
BOOST_AUTO_TEST_CASE(NoMoreOftenThanAtTheStartOfALargeFleet, *boost::unit_test::disabled()) { checkCalls(84); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
