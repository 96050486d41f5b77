#include "standins/blockingclient.h"
#include "standins/localfleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

namespace {

using nlohmann::json;

auto threeEntryVmsSpec() -> StandIns::FleetSpec
{
    StandIns::FleetSpec spec;
    spec.failureDomains = { { Core::FailureDomainId("atl-1"), Core::RegionId("atl"), 3 } };
    spec.services = { { Core::ServiceId("stock") } };
    return spec;
}

struct ThreeEntryVmsFixture {
    ThreeEntryVmsFixture()
    {
        fleet.waitUntilConfigured();
        for (const auto& vm : vms)
            BOOST_REQUIRE(waitUntil([&] { return requestStatus(vm) == 200; }));
    }

    auto requestStatus(const Core::EntryVmId& vm) -> int
    {
        const auto reply = StandIns::exchange({ fleet.addressOf(vm), "POST", "/v1/services/stock/pegs", {}, "{}" });
        return reply ? reply->status : 0;
    }

    auto isNamedInLookup(const Core::EntryVmId& asked, const Core::EntryVmId& named) -> bool
    {
        const auto reply = StandIns::exchange({ fleet.addressOf(asked), "GET", "/v1/lookup?service=stock", {}, "" });
        BOOST_REQUIRE(reply);
        const auto targets = json::parse(reply->body).value("targets", json::array());
        return std::any_of(
            targets.begin(), targets.end(), [&named](const json& target) { return target.at("vm") == named.value(); });
    }

    /// Polls the condition for as long as the slowest machine needs.
    template <typename Condition> static auto waitUntil(Condition condition) -> bool
    {
        constexpr int attempts = 200;
        for (int attempt = 0; attempt < attempts; ++attempt) {
            if (condition())
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }

    StandIns::LocalFleet fleet { { DRAGONFLYWINCH_BINARY, STANDINS_BINARY }, threeEntryVmsSpec() };
    std::vector<Core::EntryVmId> vms = fleet.entryVmIds();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ThreeEntryVmsOfWhichOneOwnsTheUpstream, ThreeEntryVmsFixture)

BOOST_AUTO_TEST_CASE(ServeCallersOfAllThree)
{
    const auto hasRelayed = [this](const Core::EntryVmId& vm) {
        const auto lines = fleet.process(vm).lines();
        return std::any_of(lines.begin(), lines.end(),
            [](const std::string& line) { return line.find("request.relayed") != std::string::npos; });
    };
    BOOST_TEST(waitUntil([&] {
        for (const auto& vm : vms)
            BOOST_TEST(requestStatus(vm) == 200);
        return std::any_of(vms.begin(), vms.end(), hasRelayed);
    }));
}

BOOST_AUTO_TEST_CASE(LeaveTheLookUpAnswersBeforeAPlannedStopAndServeMeanwhile)
{
    BOOST_REQUIRE(waitUntil([&] { return isNamedInLookup(vms[1], vms[0]); }));
    fleet.process(vms[0]).signal(SIGTERM);
    (void)fleet.process(vms[0]).waitForLine("process.leaving");
    BOOST_TEST(requestStatus(vms[0]) == 200);
    BOOST_TEST(waitUntil([&] { return !isNamedInLookup(vms[1], vms[0]); }));
    BOOST_TEST(fleet.process(vms[0]).wait() == 0);
    BOOST_TEST(waitUntil([&] { return requestStatus(vms[1]) == 200 && requestStatus(vms[2]) == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()
