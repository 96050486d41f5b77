#include "systemunderload.h"

using Faults::SystemUnderLoad;

BOOST_FIXTURE_TEST_SUITE(CallersOfAllRanksAreServed, SystemUnderLoad)

BOOST_AUTO_TEST_SUITE(AnEntryVmIsKilled)

BOOST_AUTO_TEST_CASE(ThenNoBookingRunsTwiceAndOthersServe)
{
    startLoad(1);
    sleepFor(2000);
    fleet.process(someVm).signal(SIGKILL);
    finishLoad();
}

BOOST_AUTO_TEST_CASE(ThenItsRestartUnderTheSameAddressRunsNoOldBooking)
{
    startLoad(2);
    sleepFor(2000);
    fleet.process(someVm).signal(SIGKILL);
    fleet.process(someVm).wait();
    sleepFor(500);
    fleet.restart(someVm);
    finishLoad();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnEntryVmIsPausedLongerThanAnyTimeout)

BOOST_AUTO_TEST_CASE(ThenItStartsNothingThatWasRefusedMeanwhile)
{
    startLoad(3);
    sleepFor(2000);
    fleet.process(someVm).signal(SIGSTOP);
    sleepFor(4000);
    fleet.process(someVm).signal(SIGCONT);
    finishLoad();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnEntryVmIsStoppedAsPlanned)

BOOST_AUTO_TEST_CASE(ThenNoRequestInFlightIsInterrupted)
{
    startLoad(4);
    sleepFor(2000);
    fleet.process(someVm).signal(SIGTERM);
    BOOST_TEST(fleet.process(someVm).wait() == 0);
    const auto report = finishLoad();
    BOOST_TEST(report.interruptedRequests == 0U);
    for (const auto& [service, workload] : report.services)
        BOOST_TEST(workload.unknown == 0U, service.value() << " has no unknown outcome");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AWholeFailureDomainIsLost)

BOOST_AUTO_TEST_CASE(ThenTheOthersServeAndNoBookingRunsTwice)
{
    startLoad(5);
    sleepFor(2000);
    for (const auto& vm : fleet.entryVmIds()) {
        if (vm.value().starts_with("atl-2"))
            fleet.process(vm).signal(SIGKILL);
    }
    finishLoad();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
