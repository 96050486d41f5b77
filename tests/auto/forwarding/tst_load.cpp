#include "simulatedsite.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ForwardingTest;

namespace ForwardingTest {

auto operator<<(std::ostream& stream, const LoadPattern& pattern) -> std::ostream& { return stream << pattern.name; }

} // namespace ForwardingTest

namespace {

auto pattern(std::string name, double perSecond) -> LoadPattern
{
    LoadPattern pattern;
    pattern.name = std::move(name);
    pattern.perSecond = perSecond;
    return pattern;
}

auto patterns() -> std::vector<LoadPattern>
{
    auto calm = pattern("a calm day that begins cold", 70);
    auto wave = pattern("a wave whose top is above a region's capacity", 140);
    wave.swing = 0.55;
    auto burst = pattern("a burst of the most urgent work", 120);
    burst.swing = 0.55;
    burst.burstFactor = 1.8;
    burst.burstFrom = Core::Millis(12'000);
    burst.burstUntil = Core::Millis(16'000);
    auto gone = pattern("a third of the upstreams gone without a word", 110);
    gone.vanishing = 4;
    auto slow = pattern("some upstreams five times as slow though healthy", 110);
    slow.slowing = 3;
    return { calm, wave, burst, gone, slow };
}

auto describe(const char* policy, const Outcomes& outcomes) -> std::string
{
    return std::string(policy) + ": " + std::to_string(outcomes.asked) + " asked, " + std::to_string(outcomes.inTarget)
        + " in target, " + std::to_string(outcomes.late) + " late, " + std::to_string(outcomes.refused) + " refused";
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkAtItsWorst)

BOOST_DATA_TEST_CASE(IsServedBetterThanByEitherBaseline, boost::unit_test::data::make(patterns()), load)
{
    const auto product = play(load, Policy::Product);
    const auto random = play(load, Policy::RandomUpstream);
    const auto least = play(load, Policy::LeastOutstanding);
    BOOST_TEST_MESSAGE(load.name << "\n  " << describe("product", product) << "\n  " << describe("random", random)
                                 << "\n  " << describe("least outstanding", least));
    BOOST_TEST(product.inTargetShare() > random.inTargetShare());
    BOOST_TEST(product.inTargetShare() > least.inTargetShare());
    // Nothing is kept back: what is not answered was refused.
    BOOST_TEST(product.asked == product.inTarget + product.late + product.refused);
}

BOOST_AUTO_TEST_CASE(ServesUrgentWorkBeforeAFloodOfLessUrgentWorkAtTheSameService)
{
    auto flood = pattern("a flood of less urgent work at a shared service", 400);
    flood.lessUrgentShare = 0.7;
    const auto product = play(flood, Policy::Product);
    BOOST_TEST_MESSAGE(flood.name << "\n  " << describe("product", product) << ", served of the urgent "
                                  << product.urgentServedShare() << ", of the others "
                                  << product.lessUrgentServedShare());
    constexpr double allowedLoss = 0.05;
    BOOST_REQUIRE(product.lessUrgentServedShare() > 0);
    BOOST_TEST(product.urgentServedShare() >= 1 - allowedLoss);
}

BOOST_AUTO_TEST_SUITE_END()
