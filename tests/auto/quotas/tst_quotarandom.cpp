#include "randomisedquotarun.h"
#include "support/testarguments.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <iostream>

namespace {

namespace bdata = boost::unit_test::data;

auto runWithSeed(std::uint64_t seed) -> bool
{
    RandomisedQuotaRun run(seed);
    run.run(std::chrono::seconds(40));
    std::cout << "seed " << seed << ": " << run.runCount() << " requests ran, excess " << run.excess() << '\n';
    return run.excess() <= 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuotasUnderRandomFaults)

BOOST_DATA_TEST_CASE(AreKeptInEveryWindow, bdata::xrange(1, 13), seed)
{
    BOOST_TEST(runWithSeed(static_cast<std::uint64_t>(seed)));
}

/// Runs consecutive seeds for the given time: tst_quotas --run_test=*/Soak -- SECONDS=600 SEED=1
BOOST_AUTO_TEST_CASE(Soak, *boost::unit_test::disabled()) { TestSupport::soak(runWithSeed); }

BOOST_AUTO_TEST_SUITE_END()
