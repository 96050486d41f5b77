#include "systemunderload.h"

using Faults::SystemUnderLoad;

BOOST_FIXTURE_TEST_SUITE(ThePlatformsStoreIsDown, SystemUnderLoad)

BOOST_AUTO_TEST_CASE(ThenRequestsAreServedAsBefore)
{
    fleet.setFaults(fleet.platformAddress(), { { "outage", true } });
    startLoad(11);
    const auto report = finishLoad();
    for (const auto& [service, workload] : report.services)
        BOOST_TEST(workload.unknown == 0U);
}

BOOST_AUTO_TEST_CASE(ThenARestartedEntryVmLearnsTheConfigurationFromItsPeers)
{
    fleet.setFaults(fleet.platformAddress(), { { "outage", true } });
    fleet.process(someVm).signal(SIGKILL);
    fleet.process(someVm).wait();
    fleet.restart(someVm);
    (void)fleet.process(someVm).waitForLine("configuration.taken");
    (void)fleet.process(someVm).waitForLine("fleet.taken");
    const auto reply = StandIns::exchange({ fleet.addressOf(someVm), "POST", "/v1/services/stock/pegs", {}, "{}" });
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
