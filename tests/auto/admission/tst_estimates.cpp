#include "admission/callerpatience.h"
#include "admission/othersload.h"
#include "admission/queuebound.h"
#include "admission/returnschedule.h"
#include "fakewaiter.h"

#include <boost/test/unit_test.hpp>

using namespace AdmissionTest;

BOOST_AUTO_TEST_SUITE(TheLoadOfOtherVms)

BOOST_AUTO_TEST_CASE(IsZeroForAVmThatKnowsNoOthers)
{
    const Admission::OthersLoad load;
    BOOST_TEST(load.perSlot(start) == 0);
}

BOOST_AUTO_TEST_CASE(FadesIfReportsDoNotCome)
{
    Admission::OthersLoad load;
    for (int report = 0; report < 100; ++report)
        load.record(3, start);
    BOOST_TEST(load.perSlot(start) > 2.9);
    BOOST_TEST(load.perSlot(start + 4s) < 0.2);
}

BOOST_AUTO_TEST_CASE(DoesNotGrowWhenTheClockJumpsBack)
{
    Admission::OthersLoad load;
    load.record(3, start);
    BOOST_TEST(load.perSlot(start - 10s) == load.perSlot(start));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheQueueAtAnUpstream)

BOOST_AUTO_TEST_CASE(IsUnboundedForAKindThatIsAlone)
{
    Admission::QueueBound bound;
    bound.record({ 0, 2 }, 2s, 500ms, start);
    BOOST_TEST(bound.waitingPerSlot({ 0, 2 }, 500ms, start) > 1e6);
}

BOOST_AUTO_TEST_CASE(IsAsLongAsMoreUrgentKindsCanWaitInTime)
{
    Admission::QueueBound bound;
    bound.record({ 0, 0 }, 400ms, 200ms, start);
    bound.record({ 0, 2 }, 2s, 500ms, start);
    BOOST_TEST(bound.waitingPerSlot({ 0, 2 }, 500ms, start) == 0.4);
    BOOST_TEST(bound.waitingPerSlot({ 0, 0 }, 500ms, start) > 1e6);
}

BOOST_AUTO_TEST_CASE(IsClosedToLessUrgentKindsWhileUrgentOnesAreShort)
{
    Admission::QueueBound bound;
    bound.record({ 0, 0 }, 400ms, 200ms, start);
    bound.recordShortage({ 0, 0 }, start);
    BOOST_TEST(bound.waitingPerSlot({ 0, 2 }, 500ms, start + 900ms) == 0);
    BOOST_TEST(bound.waitingPerSlot({ 0, 2 }, 500ms, start + 1s) > 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ARefusedCaller)

BOOST_AUTO_TEST_CASE(GetsAPlaceOfItsOwn)
{
    Admission::ReturnSchedule schedule;
    for (int request = 0; request < 50; ++request)
        schedule.recordStart(start + request * 20ms);
    const auto now = start + 1s;
    const auto first = schedule.place({ 100ms, 3s, 200ms, 0ms, false }, 0, now);
    const auto second = schedule.place({ 100ms, 3s, 200ms, 0ms, false }, 0, now);
    BOOST_REQUIRE((first && second));
    BOOST_TEST((*first == 100ms));
    BOOST_TEST((*second > *first));
}

BOOST_AUTO_TEST_CASE(IsSentBackNoLaterThanItHonours)
{
    Admission::ReturnSchedule schedule;
    for (int request = 0; request < 100; ++request) {
        const auto place = schedule.place({ 5s, 3s, 200ms, 0ms, false }, 0.5, start);
        BOOST_REQUIRE(place.has_value());
        BOOST_TEST((*place <= 1s));
    }
}

BOOST_AUTO_TEST_CASE(ReturnsWhileItCanBeInTime)
{
    Admission::ReturnSchedule schedule;
    for (int request = 0; request < 100; ++request)
        BOOST_TEST((*schedule.place({ 100ms, 9s, 200ms, 800ms, false }, 0.5, start) <= 800ms));
}

BOOST_AUTO_TEST_CASE(IsNotSentBackIfItCannotSucceed)
{
    Admission::ReturnSchedule schedule;
    BOOST_TEST((!schedule.place({ 100ms, 300ms, 400ms, 0ms, false }, 0, start)));
    BOOST_TEST((!schedule.place({ 100ms, 3s, 400ms, 0ms, true }, 0, start)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ACallerWithLessTimeThanUsual)

BOOST_AUTO_TEST_CASE(HasAskedBefore)
{
    Admission::CallerPatience patience;
    patience.record(4s, start);
    BOOST_TEST((patience.elapsed(3s) == 1s));
    BOOST_TEST((patience.elapsed(3980ms) == 0s));
}

BOOST_AUTO_TEST_CASE(CountsAsNewBesideOneThatAllowsMuchMore)
{
    Admission::CallerPatience patience;
    patience.record(30s, start);
    patience.record(3s, start);
    BOOST_TEST((patience.elapsed(3s) == 0s));
}

BOOST_AUTO_TEST_CASE(CountsAsNewWhenCallersAllowLessFromNowOn)
{
    Admission::CallerPatience patience;
    patience.record(4s, start);
    patience.record(2s, start + 31s);
    patience.record(2s, start + 62s);
    BOOST_TEST((patience.elapsed(2s) == 0s));
}

BOOST_AUTO_TEST_SUITE_END()
