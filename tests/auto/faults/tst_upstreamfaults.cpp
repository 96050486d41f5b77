#include "systemunderload.h"

#include <nlohmann/json.hpp>

using Faults::SystemUnderLoad;

namespace {

/// Returns the number of distinct requests that the upstream has run so far.
auto requestsRunAt(const Core::Address& upstream) -> std::size_t
{
    const auto reply = StandIns::exchange({ upstream, "GET", "/admin/book", {}, "" });
    return nlohmann::json::parse(reply.value().body).at("runs").size();
}

/// Returns the upstream of the service that has run the most requests so far.
auto busiestUpstream(const StandIns::LocalFleet& fleet, const std::string& service) -> Core::UpstreamId
{
    Core::UpstreamId busiest;
    std::size_t most = 0;
    for (const auto& upstream : fleet.upstreamIds()) {
        const auto runs
            = upstream.value().find(service) == std::string::npos ? 0 : requestsRunAt(fleet.addressOf(upstream));
        if (runs > most) {
            most = runs;
            busiest = upstream;
        }
    }
    return busiest;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamsMisbehave, SystemUnderLoad)

BOOST_AUTO_TEST_SUITE(AnUpstreamRunsBookingsAndLosesTheAnswers)

BOOST_AUTO_TEST_CASE(ThenNoneOfThemRunsAgain)
{
    startLoad(21);
    sleepFor(1500);
    const auto upstream = busiestUpstream(fleet, "booking");
    fleet.setFaults(fleet.addressOf(upstream), { { "silent", true } });
    finishLoad();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnUpstreamAnnouncesThatItLeaves)

BOOST_AUTO_TEST_CASE(ThenItReceivesNoNewWorkAfterAFewSeconds)
{
    startLoad(22);
    sleepFor(1500);
    const auto upstream = busiestUpstream(fleet, "stock");
    const auto address = fleet.addressOf(upstream);
    fleet.markLeaving(upstream);
    sleepFor(3000);
    const auto before = requestsRunAt(address);
    sleepFor(2500);
    BOOST_TEST(before > 0U);
    BOOST_TEST(requestsRunAt(address) == before);
    finishLoad();
}

BOOST_AUTO_TEST_CASE(ThenItsOwnReportSufficesWhileTheListLags)
{
    startLoad(23);
    sleepFor(1500);
    const auto upstream = busiestUpstream(fleet, "stock");
    const auto address = fleet.addressOf(upstream);
    fleet.setFaults(address, { { "draining", true } });
    sleepFor(3000);
    const auto before = requestsRunAt(address);
    sleepFor(2500);
    BOOST_TEST(before > 0U);
    BOOST_TEST(requestsRunAt(address) == before);
    const auto report = finishLoad();
    BOOST_TEST(report.services.at(Core::ServiceId("stock")).notRun == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ARequestCrashesEachUpstreamThatRunsIt)

BOOST_AUTO_TEST_CASE(ThenItIsRefusedBeforeAThirdOne)
{
    for (const auto& upstream : fleet.upstreamIds())
        fleet.setFaults(fleet.addressOf(upstream), { { "crashOn", "poison" } });
    for (int attempt = 0; attempt < 10; ++attempt) {
        for (const auto& entry : fleet.addresses())
            (void)StandIns::exchange(
                { entry, "POST", "/v1/services/stock/pegs", { { "X-Deadline-Ms", "3000" } }, "poison" });
    }
    int crashed = 0;
    for (const auto& upstream : fleet.upstreamIds()) {
        if (!StandIns::exchange({ fleet.addressOf(upstream), "GET", "/v1/health", {}, "" }))
            ++crashed;
    }
    BOOST_TEST(crashed >= 1);
    BOOST_TEST(crashed <= 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
