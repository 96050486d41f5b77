#include "randomisedbookingrun.h"

#include "core/invariant.h"
#include "support/testarguments.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <iostream>

namespace {

namespace bdata = boost::unit_test::data;

constexpr Core::Duration shortRun = std::chrono::seconds(60);

std::vector<std::string> brokenInvariants;

auto recordBrokenInvariant(std::string_view name) -> void { brokenInvariants.emplace_back(name); }

/// Prints the broken invariants, and the violations with the events of their keys.
auto printFailure(RandomisedBookingRun& randomisedRun, std::uint64_t seed) -> void
{
    std::cerr << "seed " << seed << '\n';
    for (const auto& name : brokenInvariants)
        std::cerr << "invariant broken: " << name << '\n';
    for (const auto& violation : randomisedRun.fleet().checker.violations()) {
        std::cerr << violation << '\n';
        const auto unique = violation.substr(violation.rfind(':') + 1);
        for (const auto& line : randomisedRun.fleet().events.lines()) {
            if (line.find(":" + unique + " ") != std::string::npos)
                std::cerr << "  " << line << '\n';
        }
    }
}

/// Returns true if the run had no violations and broke no invariant.
auto runWithSeed(std::uint64_t seed) -> bool
{
    brokenInvariants.clear();
    const auto previous = Core::setInvariantHandler(recordBrokenInvariant);
    RandomisedBookingRun randomisedRun(seed);
    randomisedRun.run(shortRun);
    Core::setInvariantHandler(previous);
    const auto isCorrect = randomisedRun.fleet().checker.violations().empty() && brokenInvariants.empty();
    if (!isCorrect)
        printFailure(randomisedRun, seed);
    std::cout << "seed " << seed << ": " << randomisedRun.sent() << " copies sent, "
              << randomisedRun.fleet().checker.totalRuns() << " keys ran, " << randomisedRun.answers() << " answers, "
              << randomisedRun.fleet().checker.notRunCount() << " keys not run, " << randomisedRun.unknowns()
              << " unknown replies, " << randomisedRun.fleet().events.count("booking.sealed") << " seals\n";
    return isCorrect;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BookingsUnderRandomFaults)

BOOST_DATA_TEST_CASE(RunAtMostOnceAndRefusalsAreTrue, bdata::xrange(1, 9), seed)
{
    BOOST_TEST(runWithSeed(static_cast<std::uint64_t>(seed)));
}

/// Runs consecutive seeds for the given time: tst_ledgersoak --run_test=*/Soak -- SECONDS=60 SEED=1
BOOST_AUTO_TEST_CASE(Soak, *boost::unit_test::disabled()) { TestSupport::soak(runWithSeed); }

BOOST_AUTO_TEST_SUITE_END()
