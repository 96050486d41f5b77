#include "processusage.h"

#include "standins/localfleet.h"

#include <boost/program_options.hpp>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

// Measures the processor time, resident memory and control traffic of idle entry VM processes, for several numbers of
// VMs in one failure domain and in several failure domains.

namespace {

namespace po = boost::program_options;
using BenchFleet::ProcessUsage;
using nlohmann::json;

struct FleetSize {
    int failureDomains = 1;
    int entryVmsPerDomain = 2;
};

/// Averages per entry VM.
struct Row {
    FleetSize fleet;
    double corePercent = 0;
    double residentMegabytes = 0;
    double sentBytesPerSecond = 0;
    double receivedBytesPerSecond = 0;
    double callsPerSecond = 0;
};

auto fleetSpecOf(const FleetSize& fleet) -> StandIns::FleetSpec
{
    StandIns::FleetSpec spec;
    for (int index = 1; index <= fleet.failureDomains; ++index)
        spec.failureDomains.push_back({ Core::FailureDomainId("fd-" + std::to_string(index)),
            Core::RegionId("region-" + std::to_string((index + 1) / 2)), fleet.entryVmsPerDomain });
    spec.services = { { Core::ServiceId("stock"), Core::Rank::Urgent, true, 1, 3, 10 } };
    return spec;
}

auto readUsages(StandIns::LocalFleet& fleet) -> std::vector<ProcessUsage>
{
    std::vector<ProcessUsage> usages;
    for (const auto& vm : fleet.entryVmIds())
        usages.push_back(BenchFleet::readUsage(fleet.process(vm).pid(), fleet.addressOf(vm)));
    return usages;
}

auto measure(const FleetSize& size, std::chrono::seconds settle, std::chrono::seconds window) -> Row
{
    StandIns::LocalFleet fleet({ DRAGONFLYWINCH_BINARY, STANDINS_BINARY }, fleetSpecOf(size));
    fleet.waitUntilConfigured();
    std::this_thread::sleep_for(settle);
    const auto before = readUsages(fleet);
    std::this_thread::sleep_for(window);
    const auto after = readUsages(fleet);
    constexpr double percent = 100;
    constexpr double bytesPerMegabyte = 1024 * 1024;
    Row row { size };
    const auto seconds = static_cast<double>(window.count());
    const auto share = 1.0 / static_cast<double>(after.size());
    for (std::size_t index = 0; index < after.size(); ++index) {
        const auto rate = [&](auto field) {
            return share * (static_cast<double>(field(after[index])) - static_cast<double>(field(before[index])))
                / seconds;
        };
        row.corePercent += percent * rate([](const ProcessUsage& usage) { return usage.processorSeconds; });
        row.residentMegabytes += share * static_cast<double>(after[index].residentMemory.value()) / bytesPerMegabyte;
        row.sentBytesPerSecond += rate([](const ProcessUsage& usage) { return usage.peerBytesSent.value(); });
        row.receivedBytesPerSecond += rate([](const ProcessUsage& usage) { return usage.peerBytesReceived.value(); });
        row.callsPerSecond += rate([](const ProcessUsage& usage) { return usage.peerCalls; });
    }
    return row;
}

auto printRow(const Row& row) -> void
{
    std::cout << std::setw(8) << row.fleet.failureDomains << std::setw(8) << row.fleet.entryVmsPerDomain << std::fixed
              << std::setprecision(2) << std::setw(10) << row.corePercent << std::setw(10) << row.residentMegabytes
              << std::setprecision(0) << std::setw(12) << row.sentBytesPerSecond << std::setw(12)
              << row.receivedBytesPerSecond << std::setprecision(1) << std::setw(10) << row.callsPerSecond << std::endl;
}

auto toJson(const Row& row) -> json
{
    return { { "failureDomains", row.fleet.failureDomains }, { "entryVmsEach", row.fleet.entryVmsPerDomain },
        { "corePercent", row.corePercent }, { "residentMegabytes", row.residentMegabytes },
        { "sentBytesPerSecond", row.sentBytesPerSecond }, { "receivedBytesPerSecond", row.receivedBytesPerSecond },
        { "callsPerSecond", row.callsPerSecond } };
}

auto run(const po::variables_map& values) -> void
{
    const std::chrono::seconds settle(values["settle"].as<int>());
    const std::chrono::seconds window(values["window"].as<int>());
    std::cout
        << "idle entry VMs, average per VM\n domains  VMs each   core %    RSS MB   sent B/s  received B/s  calls/s\n";
    auto rows = json::array();
    for (const auto& size : { FleetSize { 1, 5 }, FleetSize { 1, 10 }, FleetSize { 1, 20 }, FleetSize { 1, 40 },
             FleetSize { 3, 5 }, FleetSize { 6, 5 }, FleetSize { 6, 8 } }) {
        const auto row = measure(size, settle, window);
        printRow(row);
        rows.push_back(toJson(row));
    }
    if (values.count("json") > 0)
        std::ofstream(values["json"].as<std::string>()) << rows.dump(2) << '\n';
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try {
        po::options_description options("bench_fleet");
        auto add = options.add_options();
        add("settle", po::value<int>()->default_value(6), "seconds to wait before the measurement");
        add("window", po::value<int>()->default_value(10), "duration of the measurement in seconds");
        add("json", po::value<std::string>(), "output file for the results");
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        run(values);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
