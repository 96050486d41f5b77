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
    auto calm = pattern("low load from a cold start", 70);
    auto wave = pattern("a load wave with a peak above the capacity of a region", 140);
    wave.swing = 0.55;
    auto burst = pattern("a burst of the most urgent requests", 120);
    burst.swing = 0.55;
    burst.burstFactor = 1.8;
    burst.burstFrom = Core::Millis(12'000);
    burst.burstUntil = Core::Millis(16'000);
    auto unresponsive = pattern("a third of the upstreams stop responding without notice", 110);
    unresponsive.unresponsiveUpstreams = 4;
    auto slow = pattern("some healthy upstreams are five times slower", 110);
    slow.slowUpstreams = 3;
    return { calm, wave, burst, unresponsive, slow };
}

auto describe(const char* policy, const Outcomes& outcomes) -> std::string
{
    return std::string(policy) + ": " + std::to_string(outcomes.sent) + " asked, " + std::to_string(outcomes.inTarget)
        + " in target, " + std::to_string(outcomes.late) + " late, " + std::to_string(outcomes.refused) + " refused";
}

} // namespace

BOOST_AUTO_TEST_SUITE(ADemandingLoad)

BOOST_DATA_TEST_CASE(IsServedBetterThanByEitherBaseline, boost::unit_test::data::make(patterns()), load)
{
    const auto product = simulate(load, Policy::Product);
    const auto random = simulate(load, Policy::RandomUpstream);
    const auto least = simulate(load, Policy::LeastOutstanding);
    BOOST_TEST_MESSAGE(load.name << "\n  " << describe("product", product) << "\n  " << describe("random", random)
                                 << "\n  " << describe("least outstanding", least));
    BOOST_TEST(product.inTargetShare() > random.inTargetShare());
    BOOST_TEST(product.inTargetShare() > least.inTargetShare());
    // Each request was either answered or refused.
    BOOST_TEST(product.sent == product.inTarget + product.late + product.refused);
}

BOOST_AUTO_TEST_CASE(HasItsUrgentRequestsServedBeforeAFloodOfLessUrgentOnes)
{
    auto flood = pattern("a flood of less urgent requests to a shared service", 400);
    flood.lessUrgentShare = 0.7;
    const auto product = simulate(flood, Policy::Product);
    BOOST_TEST_MESSAGE(flood.name << "\n  " << describe("product", product) << ", served of the urgent "
                                  << product.urgentServedShare() << ", of the others "
                                  << product.lessUrgentServedShare());
    constexpr double allowedLoss = 0.05;
    BOOST_REQUIRE(product.lessUrgentServedShare() > 0);
    BOOST_TEST(product.urgentServedShare() >= 1 - allowedLoss);
}

BOOST_AUTO_TEST_CASE(IsServedBetterWhenUpstreamsReportThatOthersUseTheirMachines)
{
    auto shared = pattern("upstreams whose machines are slow in short bursts", 95);
    shared.hasSharedMachines = true;
    const auto silent = simulate(shared, Policy::Product);
    shared.reportsWorkTime = true;
    const auto reported = simulate(shared, Policy::Product);
    BOOST_TEST_MESSAGE(
        shared.name << "\n  " << describe("without reports", silent) << "\n  " << describe("with reports", reported));
    BOOST_TEST(reported.inTargetShare() > silent.inTargetShare());
}

BOOST_AUTO_TEST_SUITE_END()
