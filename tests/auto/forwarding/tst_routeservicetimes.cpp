#include "forwarding/routeservicetimes.h"

#include <boost/test/unit_test.hpp>

using namespace Forwarding;

namespace {

struct ManyRoutes {
    auto at(int number) -> RouteServiceTime&
    {
        now += Core::Millis(1);
        return times.at(RouteId("r" + std::to_string(number)), Core::Millis(400), now);
    }

    auto record(int number, Core::Duration time) -> void
    {
        times.record(RouteId("r" + std::to_string(number)), time, CacheState::NoObject, now);
    }

    RouteServiceTimes times;
    Core::Instant now { Core::Millis(10'000) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheServiceTimesOfRoutes, ManyRoutes)

BOOST_AUTO_TEST_CASE(AreKeptApart)
{
    (void)at(1);
    (void)at(2);
    record(1, Core::Millis(1600));
    BOOST_TEST((at(1).mean(CacheState::NoObject) == Core::Millis(1600)));
    BOOST_TEST((at(2).mean(CacheState::NoObject) == Core::Millis(200)));
}

/// Review case 4: the estimates of routes must not grow with the number of routes that ever were.
BOOST_AUTO_TEST_CASE(AreBoundedInNumberAndForgetTheLeastRecentlyUsed)
{
    (void)at(0);
    record(0, Core::Millis(1600));
    for (int number = 1; number <= 10'000; ++number) {
        (void)at(number);
        (void)at(0);
    }
    BOOST_TEST(times.size() == RouteServiceTimes::maximumRoutes);
    BOOST_TEST((at(0).mean(CacheState::NoObject) == Core::Millis(1600)));
    BOOST_TEST((at(10'000).mean(CacheState::NoObject) == Core::Millis(200)));
    record(1, Core::Millis(1600));
    BOOST_TEST((at(1).mean(CacheState::NoObject) == Core::Millis(200)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ARouteThatNothingWasAnsweredOn, ManyRoutes)

BOOST_AUTO_TEST_CASE(IsTriedAgainstItsEstimateAtGrowingIntervals)
{
    int trials = 0;
    for (int second = 0; second < 60; ++second) {
        now += Core::Millis(1000);
        trials += at(1).tryTrial(now) ? 1 : 0;
    }
    // After 0, 1, 3 and 7 seconds, and each eight seconds from then on.
    BOOST_TEST(trials == 10);
}

BOOST_AUTO_TEST_CASE(LearnsFromTheFirstAnswerThatItsEstimateWasWrong)
{
    (void)at(1);
    for (int answer = 0; answer < 50; ++answer)
        record(1, Core::Millis(1600));
    BOOST_TEST(!at(1).tryTrial(now));
    now += RouteServiceTime::initialTrialInterval;
    BOOST_TEST(at(1).tryTrial(now));
    BOOST_TEST(!at(1).tryTrial(now));
    record(1, Core::Millis(50));
    BOOST_TEST((at(1).mean(CacheState::NoObject) == Core::Millis(50)));
}

BOOST_AUTO_TEST_SUITE_END()
