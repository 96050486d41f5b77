#include "virtualfleet.h"

#include <boost/test/unit_test.hpp>

namespace {

/// Request that crashes upstreams. The fleet knows of two that it crashed.
const Dispatch::RequestFingerprint harmful { 6, 66 };
/// Time after the third crash within which all VMs must refuse the request (sites/pcs-stakes.toml, stability_window).
constexpr Core::Millis stabilityWindow { 3000 };
constexpr std::chrono::hours quarantineTime { 1 };
/// Control traffic of one VM in bytes per second that the capacity target allows (docs/CAPACITY.md).
constexpr double controlTarget = 17'000;

auto report(const Dispatch::RequestFingerprint& request) -> Dispatch::CrashReport
{
    return { request, { Core::UpstreamId("u1"), Core::UpstreamId("u2") } };
}

/// Fleet whose VMs can be told of requests that crash upstreams.
struct QuarantiningFleet : VirtualFleet {
    using VirtualFleet::VirtualFleet;

    auto guard(std::size_t index) -> Forwarding::CrashGuard& { return site.vm(index)->forwarder().crashGuard(); }

    auto tellAll(const Dispatch::RequestFingerprint& request = harmful) -> void
    {
        for (std::size_t index = 0; index < size; ++index)
            guard(index).accept(report(request));
    }

    /// Has the VM lose the upstream at which it had the request, and find that nothing answers there any more.
    auto crashUpstream(std::size_t index, const std::string& upstream) -> void
    {
        guard(index).recordLoss(
            harmful, { Core::UpstreamId(upstream), Core::ProcessStartId(1), Core::Address(upstream) }, "/health");
    }

    auto restart(std::size_t index) -> void
    {
        site.crashVm(index);
        site.startVm(index);
    }

    /// Returns the VMs that send the request on.
    auto unaware(const Dispatch::RequestFingerprint& request = harmful) -> std::vector<std::size_t>
    {
        std::vector<std::size_t> vms;
        for (std::size_t index = 0; index < size; ++index) {
            if (site.isRunning(index) && !guard(index).isQuarantined(request))
                vms.push_back(index);
        }
        return vms;
    }
};

const std::vector<std::size_t> nobody;

struct FleetOfFive : QuarantiningFleet {
    FleetOfFive()
        : QuarantiningFleet(5)
    {
    }
};

struct FleetOfEightyFour : QuarantiningFleet {
    FleetOfEightyFour()
        : QuarantiningFleet(84)
    {
    }
};

/// Two VMs, each the only one of its region.
struct FleetOfTwoRegions : QuarantiningFleet {
    FleetOfTwoRegions()
        : QuarantiningFleet(3)
    {
        site.crashVm(1);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ARequestThatCrashesUpstreams)

BOOST_FIXTURE_TEST_SUITE(IsRefusedByVmsThatRestart, FleetOfFive)

/// Review case 10 (BUDGET): a VM that had restarted knew of no request that crashes upstreams, and sent them on.
BOOST_AUTO_TEST_CASE(OneAfterTheOther)
{
    tellAll();
    for (std::size_t index = 0; index < size; ++index) {
        restart(index);
        site.world.runFor(stabilityWindow);
        BOOST_TEST(unaware() == nobody);
    }
}

BOOST_AUTO_TEST_CASE(WhileTheStoreIsAway)
{
    tellAll();
    site.setStoreFaults({ true });
    restart(0);
    site.world.runFor(2 * stabilityWindow);
    BOOST_TEST(unaware() == nobody);
}

BOOST_FIXTURE_TEST_CASE(AloneInTheirRegion, FleetOfTwoRegions)
{
    for (const std::size_t index : { 0U, 2U })
        guard(index).accept(report(harmful));
    restart(2);
    site.world.runFor(stabilityWindow);
    BOOST_TEST(unaware() == nobody);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(IsRefusedByAVmThatWasCutOff, FleetOfFive)

BOOST_AUTO_TEST_CASE(AsSoonAsItReachesTheOthers)
{
    site.pauseVm(4);
    for (std::size_t index = 0; index < 4; ++index)
        guard(index).accept(report(harmful));
    site.world.runFor(stabilityWindow);
    site.resumeVm(4);
    site.world.runFor(stabilityWindow);
    BOOST_TEST(unaware() == nobody);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(IsRefusedByALargeFleet, FleetOfEightyFour)

/// Review case 10 (BUDGET): only 32 VMs were told of a crash.
BOOST_AUTO_TEST_CASE(WithinTheStabilityWindow)
{
    for (const auto* upstream : { "u1", "u2", "u3" })
        crashUpstream(83, upstream);
    site.world.runFor(stabilityWindow);
    BOOST_TEST(unaware() == nobody);
}

BOOST_AUTO_TEST_CASE(WithoutMoreControlTrafficThanTheTarget)
{
    constexpr std::uint64_t requests = 2000;
    for (std::uint64_t number = 0; number < requests; ++number)
        guard(0).accept(report({ number, number }));
    double highest = 0;
    for (int second = 0; second < 30; ++second) {
        const auto before = site.world.traffic().bytes;
        site.world.runFor(std::chrono::seconds(1));
        highest = std::max(highest, static_cast<double>(site.world.traffic().bytes - before));
    }
    BOOST_TEST(highest / static_cast<double>(size) < controlTarget);
    BOOST_TEST(unaware({ requests - 1, requests - 1 }) == nobody);
}

BOOST_AUTO_TEST_CASE(WithoutAnyTrafficOnceAllKnowOfIt)
{
    const auto quietBefore = site.world.traffic().messages;
    site.world.runFor(std::chrono::seconds(10));
    const auto quiet = site.world.traffic().messages - quietBefore;
    tellAll();
    const auto before = site.world.traffic().messages;
    site.world.runFor(std::chrono::seconds(10));
    BOOST_TEST(site.world.traffic().messages - before <= quiet + size);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(IsRefusedForAnHour, FleetOfFive)

/// A sound request with the same path is refused as well, so the VMs must not keep the quarantine up among themselves.
BOOST_AUTO_TEST_CASE(HoweverOftenVmsRestartAndAreToldOfIt)
{
    tellAll();
    const auto end = site.world.now() + quarantineTime;
    for (std::size_t index = 0; site.world.now() < end - std::chrono::minutes(1); index = (index + 1) % size) {
        restart(index);
        site.world.runFor(std::chrono::seconds(50));
        BOOST_TEST(unaware() == nobody);
    }
    site.world.runFor(end - site.world.now() + Core::Millis(1));
    BOOST_TEST(unaware().size() == size);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
