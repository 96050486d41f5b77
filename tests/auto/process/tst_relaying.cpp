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

struct ThreeEntryVmsWithOneUpstream {
    ThreeEntryVmsWithOneUpstream()
    {
        fleet.waitUntilConfigured();
        for (const auto& vm : vms)
            BOOST_REQUIRE(isEventually([&] { return ask(vm) == 200; }));
    }

    auto ask(const Core::EntryVmId& vm) -> int
    {
        const auto reply = StandIns::exchange({ fleet.addressOf(vm), "POST", "/v1/services/stock/pegs", {}, "{}" });
        return reply ? reply->status : 0;
    }

    auto isNamedBy(const Core::EntryVmId& asked, const Core::EntryVmId& named) -> bool
    {
        const auto reply = StandIns::exchange({ fleet.addressOf(asked), "GET", "/v1/lookup?service=stock", {}, "" });
        BOOST_REQUIRE(reply);
        const auto targets = json::parse(reply->body).value("targets", json::array());
        return std::any_of(
            targets.begin(), targets.end(), [&named](const json& target) { return target.at("vm") == named.value(); });
    }

    /// Tries for as long as the slowest machine needs.
    template <typename Condition> static auto isEventually(Condition condition) -> bool
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

BOOST_FIXTURE_TEST_SUITE(ThreeEntryVmsOfWhichOneOwnsTheUpstream, ThreeEntryVmsWithOneUpstream)

BOOST_AUTO_TEST_CASE(ServeCallersOfAllThree)
{
    const auto hasRelayed = [this](const Core::EntryVmId& vm) {
        const auto lines = fleet.process(vm).lines();
        return std::any_of(lines.begin(), lines.end(),
            [](const std::string& line) { return line.find("request.relayed") != std::string::npos; });
    };
    BOOST_TEST(isEventually([&] {
        for (const auto& vm : vms)
            BOOST_TEST(ask(vm) == 200);
        return std::any_of(vms.begin(), vms.end(), hasRelayed);
    }));
}

BOOST_AUTO_TEST_CASE(LeaveTheLookUpAnswersBeforeAPlannedStopAndServeMeanwhile)
{
    BOOST_REQUIRE(isEventually([&] { return isNamedBy(vms[1], vms[0]); }));
    fleet.process(vms[0]).signal(SIGTERM);
    (void)fleet.process(vms[0]).waitForLine("process.leaving");
    BOOST_TEST(ask(vms[0]) == 200);
    BOOST_TEST(isEventually([&] { return !isNamedBy(vms[1], vms[0]); }));
    BOOST_TEST(fleet.process(vms[0]).wait() == 0);
    BOOST_TEST(isEventually([&] { return ask(vms[1]) == 200 && ask(vms[2]) == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()
