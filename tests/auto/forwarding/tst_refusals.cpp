#include "forwarding/refusals.h"

#include <boost/test/unit_test.hpp>

namespace {

using Forwarding::ChoiceFailure;
using Forwarding::ChoiceFailureReason;
using namespace std::chrono_literals;

/// Returns the same number each time.
class ConstantRandom : public Ports::RandomSource {
public:
    explicit ConstantRandom(std::uint64_t number)
        : m_number(number)
    {
    }
    auto next() -> std::uint64_t override { return m_number; }

private:
    const std::uint64_t m_number;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ARefusedCaller)

BOOST_AUTO_TEST_SUITE(WhoseServiceIsFull)

BOOST_AUTO_TEST_CASE(LearnsHowManyUpstreamsWereWeighed)
{
    const auto cause = Forwarding::refusalCauseOf({ ChoiceFailureReason::Busy, 3, 250ms });
    BOOST_TEST((cause.reason == Core::RefusalReason::Overloaded));
    BOOST_TEST(cause.message == "the 3 upstreams weighed are full; the least wait is 250 ms");
    BOOST_TEST((cause.wait == 250ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseServiceHasNoUpstream)

BOOST_AUTO_TEST_CASE(IsToldToWaitAtLeastTheMinimum)
{
    const auto cause = Forwarding::refusalCauseOf({ ChoiceFailureReason::NoUpstream, 0, 0ms });
    BOOST_TEST((cause.reason == Core::RefusalReason::NoUpstream));
    BOOST_TEST((cause.wait == Forwarding::minimumRetryAfter));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithARetryDelay)

BOOST_AUTO_TEST_CASE(ReturnsBetweenTheWaitAndItsDouble)
{
    ConstantRandom least(0);
    ConstantRandom most(1023);
    BOOST_TEST((Forwarding::retryDelay(200ms, 3s, least) == 200ms));
    BOOST_TEST((Forwarding::retryDelay(200ms, 3s, most) < 400ms));
    BOOST_TEST((Forwarding::retryDelay(200ms, 3s, most) > 390ms));
}

BOOST_AUTO_TEST_CASE(HasTimeLeftForItsRetry)
{
    ConstantRandom most(1023);
    BOOST_TEST((Forwarding::retryDelay(5s, 3s, most) == 1s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
