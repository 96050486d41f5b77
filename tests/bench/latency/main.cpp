#include "loadgenerator.h"

#include "standins/localfleet.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

// Measures the latency that an entry VM adds to a request on loopback. The same upstream is called directly and through
// the entry VM, with one request at a time and at half of the rate that the entry VM reaches with 32 in flight.

namespace {

using BenchLatency::LatencySample;
using BenchLatency::LoadGenerator;
using nlohmann::json;

constexpr std::size_t warmUpRequests = 2000;
constexpr std::size_t requests = 20'000;
constexpr std::size_t concurrency = 32;
constexpr auto settleTime = std::chrono::seconds(3);

auto fleetSpec() -> StandIns::FleetSpec
{
    constexpr int slots = 64;
    StandIns::FleetSpec spec;
    spec.failureDomains = { { Core::FailureDomainId("fd-1"), Core::RegionId("region-1"), 1 } };
    spec.services = { { Core::ServiceId("stock"), Core::Rank::Urgent, true, 1, slots, 0 } };
    return spec;
}

auto quantile(std::vector<double> values, double fraction) -> double
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

auto addResult(json& results, const std::string& name, const LatencySample& sample) -> void
{
    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    const json row { { "name", name }, { "p50Ms", quantile(sample.latenciesMs, median) },
        { "p99Ms", quantile(sample.latenciesMs, tail) }, { "failures", sample.failures },
        { "requestsPerSecond", static_cast<double>(sample.latenciesMs.size()) / sample.seconds } };
    std::cout << std::left << std::setw(36) << name << std::right << std::fixed << std::setprecision(3) << std::setw(10)
              << row["p50Ms"].get<double>() << std::setw(10) << row["p99Ms"].get<double>() << std::setprecision(0)
              << std::setw(10) << row["requestsPerSecond"].get<double>() << std::setw(10) << sample.failures
              << std::endl;
    results.push_back(row);
}

auto run() -> json
{
    StandIns::LocalFleet fleet({ DRAGONFLYWINCH_BINARY, STANDINS_BINARY }, fleetSpec());
    fleet.waitUntilConfigured();
    std::this_thread::sleep_for(settleTime);
    LoadGenerator direct(fleet.addressOf(fleet.upstreamIds().front()), "/v1/run/pegs");
    LoadGenerator throughEntryVm(fleet.addressOf(fleet.entryVmIds().front()), "/v1/services/stock/pegs");
    direct.runClosedLoop(concurrency, warmUpRequests);
    throughEntryVm.runClosedLoop(concurrency, warmUpRequests);
    auto results = json::array();
    std::cout << std::setw(46) << "p50 ms" << std::setw(10) << "p99 ms" << std::setw(10) << "per s" << std::setw(10)
              << "failed" << '\n';
    addResult(results, "direct, one at a time", direct.runClosedLoop(1, requests));
    addResult(results, "entry VM, one at a time", throughEntryVm.runClosedLoop(1, requests));
    const auto full = throughEntryVm.runClosedLoop(concurrency, requests);
    addResult(results, "entry VM, 32 in flight", full);
    const auto halfRate = static_cast<double>(full.latenciesMs.size()) / full.seconds / 2;
    addResult(results, "direct, half of that rate", direct.runOpenLoop(halfRate, requests));
    addResult(results, "entry VM, half of that rate", throughEntryVm.runOpenLoop(halfRate, requests));
    return results;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try {
        const auto results = run();
        if (argc > 1)
            std::ofstream(argv[1]) << results.dump(2) << '\n';
        return 0;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
