#include "bookingchaos.h"

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

auto noteBrokenInvariant(std::string_view name) -> void { brokenInvariants.emplace_back(name); }

/// Prints what happened to each key that a violation names.
auto printStory(BookingChaos& chaos, std::uint64_t seed) -> void
{
    std::cerr << "seed " << seed << '\n';
    for (const auto& name : brokenInvariants)
        std::cerr << "invariant broken: " << name << '\n';
    for (const auto& violation : chaos.fleet().book.violations()) {
        std::cerr << violation << '\n';
        const auto unique = violation.substr(violation.rfind(':') + 1);
        for (const auto& line : chaos.fleet().events.lines()) {
            if (line.find(":" + unique + " ") != std::string::npos)
                std::cerr << "  " << line << '\n';
        }
    }
}

/// Returns whether all held.
auto runWithSeed(std::uint64_t seed) -> bool
{
    brokenInvariants.clear();
    const auto previous = Core::setInvariantHandler(noteBrokenInvariant);
    BookingChaos chaos(seed);
    chaos.run(shortRun);
    Core::setInvariantHandler(previous);
    const auto held = chaos.fleet().book.violations().empty() && brokenInvariants.empty();
    if (!held)
        printStory(chaos, seed);
    std::cout << "seed " << seed << ": " << chaos.sent() << " copies sent, " << chaos.fleet().book.totalRuns()
              << " keys ran, " << chaos.answers() << " answers, " << chaos.fleet().book.notRunCount()
              << " keys not run, " << chaos.unknowns() << " unknown replies, "
              << chaos.fleet().events.count("booking.sealed") << " seals\n";
    return held;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BookingsUnderRandomFaults)

BOOST_DATA_TEST_CASE(RunAtMostOnceAndRefusalsAreTrue, bdata::xrange(1, 9), seed)
{
    BOOST_TEST(runWithSeed(static_cast<std::uint64_t>(seed)));
}

/// Runs seed after seed for the given time: tst_ledgersoak --run_test=*/Soak -- SECONDS=60 SEED=1
BOOST_AUTO_TEST_CASE(Soak, *boost::unit_test::disabled()) { TestSupport::soak(runWithSeed); }

BOOST_AUTO_TEST_SUITE_END()
