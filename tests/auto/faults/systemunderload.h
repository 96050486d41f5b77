#pragma once

#include "standins/blockingclient.h"
#include "standins/callerload.h"
#include "standins/localfleet.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <thread>

namespace Faults {

inline constexpr Core::Millis loadDuration { 8'000 };
/// Time for new entry VMs to discover each other.
inline constexpr int discoveryTimeMs = 3000;

/// Runs three failure domains as separate processes, under load from callers of all three ranks.
struct SystemUnderLoad {
    SystemUnderLoad()
    {
        fleet.waitUntilConfigured();
        sleepFor(discoveryTimeMs);
    }

    auto startLoad(std::uint64_t seed) -> void
    {
        using Core::Millis;
        using Core::Rank;
        const std::vector<StandIns::Workload> workloads { { Core::ServiceId("stock"), Rank::Urgent, 60, Millis(3000),
                                                              false },
            { Core::ServiceId("booking"), Rank::Normal, 30, Millis(6000), true },
            { Core::ServiceId("audit"), Rank::Deferrable, 10, Millis(6000), false } };
        load = std::make_unique<StandIns::CallerLoad>(fleet.addresses(), workloads, seed);
        load->start(loadDuration);
    }

    static auto sleepFor(int milliseconds) -> void
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    }

    /// Waits for the end of the load and checks the guarantees that hold under every fault.
    auto finishLoad() -> StandIns::LoadReport
    {
        auto report = load->finish();
        BOOST_TEST_MESSAGE(StandIns::formatTable(report));
        for (const auto& [service, workload] : report.services) {
            for (const auto& [reason, count] : workload.refusals)
                BOOST_TEST_MESSAGE(service.value() << " attempts refused: " << reason << ' ' << count);
        }
        printTimeline("request.refused");
        for (const auto& line : StandIns::checkBookingGuarantees(report, fleet.runCounts()))
            BOOST_ERROR(line);
        for (const auto& [service, workload] : report.services)
            BOOST_TEST(workload.answered > 0U, service.value() << " was answered");
        return report;
    }

    /// Prints the events of one kind from the entry VMs that still run.
    auto printTimeline(const std::string& kind) -> void
    {
        std::vector<std::string> arguments { "timeline", "--kind", kind };
        for (const auto& address : fleet.addresses()) {
            arguments.emplace_back("--at");
            arguments.push_back(address.value());
        }
        StandIns::ChildProcess timeline(DRAGONFLYWINCH_BINARY, arguments);
        timeline.wait();
        for (const auto& line : timeline.allLines())
            BOOST_TEST_MESSAGE(line);
    }

    StandIns::LocalFleet fleet { { DRAGONFLYWINCH_BINARY, STANDINS_BINARY }, StandIns::smallPeachtreeSpec() };
    Core::EntryVmId someVm { fleet.entryVmIds().front() };
    std::unique_ptr<StandIns::CallerLoad> load;
};

} // namespace Faults
