#include "standins/blockingclient.h"
#include "standins/callerload.h"
#include "standins/localfleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

namespace {

using nlohmann::json;

auto oneFailureDomainSpec() -> StandIns::FleetSpec
{
    auto spec = StandIns::smallPeachtreeSpec();
    spec.failureDomains.resize(1);
    spec.failureDomains[0].entryVmCount = 1;
    return spec;
}

struct OneFailureDomainFixture {
    OneFailureDomainFixture() { fleet.waitUntilConfigured(); }

    StandIns::LocalFleet fleet { { DRAGONFLYWINCH_BINARY, STANDINS_BINARY }, oneFailureDomainSpec() };
    Core::EntryVmId vm { fleet.entryVmIds().front() };
    Core::Address entry = fleet.addressOf(vm);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OneEntryVmWithUpstreams, OneFailureDomainFixture)

BOOST_AUTO_TEST_CASE(ServesARequestEndToEnd)
{
    const auto reply = StandIns::exchange(
        { entry, "POST", "/v1/services/stock/pegs", { { "X-Request-Id", "r-1" }, { "X-Deadline-Ms", "5000" } }, "{}" });
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->status == 200);
    BOOST_TEST(reply->headers.at("X-Request-Id") == "r-1");
    BOOST_TEST(json::parse(reply->body).at("done") == "r-1");
}

BOOST_AUTO_TEST_CASE(RefusesAnUnknownServiceAsNotRun)
{
    const auto reply = StandIns::exchange({ entry, "GET", "/v1/services/tents/x", {}, "" });
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->status == 404);
    BOOST_TEST(json::parse(reply->body).at("outcome") == "not-run");
}

BOOST_AUTO_TEST_CASE(EndsGracefullyOnSigterm)
{
    fleet.process(vm).signal(SIGTERM);
    BOOST_TEST(fleet.process(vm).wait() == 0);
}

BOOST_AUTO_TEST_CASE(GivesEveryCallerItsOwnAnswer)
{
    using Core::Rank;
    StandIns::CallerLoad load({ entry },
        { { Core::ServiceId("stock"), Rank::Urgent, 100, Core::Millis(2000), false },
            { Core::ServiceId("audit"), Rank::Deferrable, 20, Core::Millis(5000), false } },
        1);
    load.start(Core::Millis(1500));
    const auto report = load.finish();
    BOOST_TEST(report.mismatchedResponses == 0U);
    for (const auto& [service, workload] : report.services)
        BOOST_TEST(workload.answered == workload.offered);
    BOOST_TEST(StandIns::checkBookingGuarantees(report, fleet.runCounts()).empty());
}

BOOST_AUTO_TEST_SUITE_END()
