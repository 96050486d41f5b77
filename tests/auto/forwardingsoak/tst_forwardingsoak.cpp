#include "forwardingchaos.h"

#include "core/invariant.h"
#include "support/testarguments.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <iostream>

namespace {

namespace bdata = boost::unit_test::data;

constexpr Core::Duration shortRun = std::chrono::seconds(120);
/// Share of the requests that must be answered once all troubles are over; the rest had no time.
constexpr double leastServedShare = 0.85;

std::vector<std::string> brokenInvariants;

auto noteBrokenInvariant(std::string_view name) -> void { brokenInvariants.emplace_back(name); }

/// Prints what happened around the upstream that a violation names, and to VMs and the store.
auto printStory(const ForwardingChaos& chaos, const std::string& violation) -> void
{
    const auto found = violation.find("upstream ");
    const auto name = found == std::string::npos
        ? ""
        : violation.substr(found + 9, violation.find_first_of(" ,", found + 9) - found - 9);
    for (const auto& line : chaos.site().story()) {
        const bool isOfUpstream = line.find("upstream=") != std::string::npos;
        if (!isOfUpstream || (line + " ").find("upstream=" + name + " ") != std::string::npos)
            std::cerr << "  " << line << '\n';
    }
}

/// Returns whether all held.
auto runWithSeed(std::uint64_t seed) -> bool
{
    brokenInvariants.clear();
    const auto previous = Core::setInvariantHandler(noteBrokenInvariant);
    ForwardingChaos chaos(seed);
    chaos.run(shortRun);
    const auto isKept = chaos.site().book.violations().empty();
    const auto served = isKept ? chaos.servedShareAfterHealing() : 0;
    Core::setInvariantHandler(previous);
    for (const auto& violation : chaos.site().book.violations()) {
        std::cerr << "seed " << seed << ": " << violation << '\n';
        printStory(chaos, violation);
    }
    for (const auto& name : brokenInvariants)
        std::cerr << "seed " << seed << ": invariant broken: " << name << '\n';
    std::cout << "seed " << seed << ": " << chaos.site().book.size() << " requests, " << chaos.site().answers
              << " answers, " << chaos.site().refusals << " refusals, served after healing " << served << '\n';
    return chaos.site().book.violations().empty() && brokenInvariants.empty() && served >= leastServedShare;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestsOnTheirWayUnderRandomTrouble)

BOOST_DATA_TEST_CASE(KeepEveryPromise, bdata::xrange(1, 41), seed)
{
    BOOST_TEST(runWithSeed(static_cast<std::uint64_t>(seed)));
}

/// Runs seed after seed for the given time: tst_forwardingsoak --run_test=*/Soak -- SECONDS=60 SEED=1
BOOST_AUTO_TEST_CASE(Soak, *boost::unit_test::disabled()) { TestSupport::soak(runWithSeed); }

BOOST_AUTO_TEST_SUITE_END()
