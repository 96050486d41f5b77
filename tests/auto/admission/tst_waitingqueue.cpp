#include "admission/waitingqueue.h"
#include "fakewaiter.h"

#include <boost/test/unit_test.hpp>

using namespace AdmissionTest;
using Admission::WaiterPointer;

namespace {

struct QueueFixture {
    auto add(const WaiterPointer& one) -> WaiterPointer { return queue.add(one, now); }
    auto first() -> WaiterPointer { return queue.first(1, now).front(); }

    Core::Instant now = start;
    Admission::WaitingQueue queue { 3, std::make_unique<Admission::LeastCostOrder>() };
};

/// Number of requests that are started in time if a slot becomes free at each interval.
auto startedInTime(std::unique_ptr<const Admission::WaitingOrder> order, int priority) -> int
{
    Admission::WaitingQueue queue(200, std::move(order));
    int inTime = 0;
    for (auto now = start; now < start + 4s; now += 10ms) {
        // A burst of twice the room for a second, with one urgent request in five.
        const bool isBurst = now < start + 1s;
        (void)queue.add(waiter(now.time_since_epoch() % 50ms == 0us ? 0 : 1, now), now);
        (void)queue.takeLost(now);
        if (isBurst && now.time_since_epoch() % 20ms != 0us)
            continue;
        const auto next = queue.first(1, now);
        if (next.empty())
            continue;
        queue.remove(*next.front());
        queue.recordStart(next.front()->demand(), now);
        if (next.front()->demand().urgency.route == priority && now <= next.front()->demand().inTimeUntil)
            ++inTime;
    }
    return inTime;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AQueueOfWaitingRequests)

BOOST_FIXTURE_TEST_SUITE(OfDifferentKinds, QueueFixture)

BOOST_AUTO_TEST_CASE(StartsTheMoreUrgentKindFirst)
{
    const auto urgent = waiter(0, start + 50ms);
    add(waiter(1));
    add(urgent);
    BOOST_TEST((first() == urgent));
}

BOOST_AUTO_TEST_CASE(LeavesTheLessUrgentKindItsFloor)
{
    const auto lessUrgent = waiter(2);
    add(waiter(0));
    add(lessUrgent);
    for (int request = 0; request < 20; ++request)
        queue.recordStart(waiter(0)->demand(), now);
    BOOST_TEST((first() == lessUrgent));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(OfOneKind, QueueFixture)

BOOST_AUTO_TEST_CASE(StartsTheRequestFirstThatHasToBeStartedFirst)
{
    const auto longWork = waiter(1, start + 50ms);
    longWork->m_demand.inTimeUntil = start + 200ms;
    add(waiter(1));
    add(longWork);
    BOOST_TEST((first() == longWork));
}

BOOST_AUTO_TEST_CASE(StartsWhatCanBeInTimeBeforeWhatIsLate)
{
    now = start + 350ms;
    const auto timely = waiter(1, start + 300ms);
    add(waiter(1));
    add(timely);
    BOOST_TEST((first() == timely));
}

BOOST_AUTO_TEST_CASE(DoesNotPutReturnedWorkBehindNewWork)
{
    const auto returned = waiter(1, start - 100ms);
    add(waiter(1));
    add(returned);
    BOOST_TEST((first() == returned));
}

BOOST_AUTO_TEST_CASE(SharesTheWorkBetweenOrganisations)
{
    const auto quiet = waiter(1, start + 100ms, "quiet");
    queue.recordStart(waiter(1, start, "quiet")->demand(), now);
    for (int request = 0; request < 5; ++request)
        queue.recordStart(waiter(1, start, "loud")->demand(), now);
    add(waiter(1, start, "loud"));
    add(quiet);
    BOOST_TEST((first() == quiet));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatIsFull, QueueFixture)

BOOST_AUTO_TEST_CASE(TurnsAwayTheCheapestRequest)
{
    const auto cheapest = waiter(2);
    add(cheapest);
    add(waiter(1));
    add(waiter(0));
    BOOST_TEST((add(waiter(1)) == cheapest));
}

BOOST_AUTO_TEST_CASE(TurnsAwayTheNewRequestIfItIsTheCheapest)
{
    for (int request = 0; request < 3; ++request)
        add(waiter(0));
    const auto cheapest = waiter(2);
    BOOST_TEST((add(cheapest) == cheapest));
}

BOOST_AUTO_TEST_CASE(LosesCallersThatHaveLeft)
{
    for (int request = 0; request < 3; ++request) {
        const auto gone = waiter(0);
        gone->isGone = true;
        add(gone);
    }
    BOOST_TEST(queue.takeLost(now).size() == 3U);
    BOOST_TEST(queue.isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhoseTimeHasPassed, QueueFixture)

BOOST_AUTO_TEST_CASE(LosesThemAtTheLatestStart)
{
    add(waiter());
    BOOST_TEST((queue.nextLoss() == start + 1900ms));
    BOOST_TEST(queue.takeLost(start + 1899ms).empty());
    BOOST_TEST(queue.takeLost(start + 1900ms).size() == 1U);
}

BOOST_AUTO_TEST_CASE(KeepsThemWhenTheClockJumpsBack)
{
    add(waiter());
    queue.recordStart(waiter()->demand(), now);
    now -= 10s;
    BOOST_TEST(queue.takeLost(now).empty());
    BOOST_TEST(queue.first(1, now).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(InABurst)

BOOST_AUTO_TEST_CASE(StartsMoreInTimeThanInTheOrderOfArrival)
{
    using namespace Admission;
    const int arrivalOrder = startedInTime(std::make_unique<FirstComeOrder>(), 0);
    const int leastCost = startedInTime(std::make_unique<LeastCostOrder>(), 0);
    BOOST_TEST_MESSAGE("urgent: " << arrivalOrder << " in the order of arrival, " << leastCost << " by cost");
    BOOST_TEST(leastCost > arrivalOrder);
}

BOOST_AUTO_TEST_CASE(StartsMoreOfTheLessUrgentInTimeThanByPriorityOnly)
{
    using namespace Admission;
    const int priorityOnly = startedInTime(std::make_unique<PriorityOrder>(), 1);
    const int leastCost = startedInTime(std::make_unique<LeastCostOrder>(), 1);
    BOOST_TEST_MESSAGE("less urgent: " << priorityOnly << " by priority only, " << leastCost << " by cost");
    BOOST_TEST(leastCost > priorityOnly);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
