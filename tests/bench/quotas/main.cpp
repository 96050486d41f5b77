#include "fakes/quotas/quotafleet.h"

#include <boost/program_options.hpp>
#include <cmath>
#include <iostream>

// Measures, in virtual time, how many requests within a quota are refused, how long they wait for a permit, and how
// many messages the VMs exchange.

namespace {

namespace po = boost::program_options;

constexpr Core::Millis step { 1 };
/// Requests are sent for this share of each quota.
constexpr double usedShare = 1 / 1.6;
/// Exponent of the distribution of the requests over the organisations.
constexpr double skew = 1.2;
constexpr double hotFactor = 6;

struct Scenario {
    std::size_t vms = 0;
    std::size_t organisations = 0;
    double requestsPerSecond = 0;
    double burstSeconds = 0;
    std::uint64_t seed = 0;
    std::size_t seconds = 0;
    std::size_t warmUpSeconds = 0;
    std::string trouble;
};

auto nameOf(std::size_t organisation) -> std::string { return "org-" + std::to_string(organisation); }

auto demands(const Scenario& scenario) -> std::vector<double>
{
    std::vector<double> result;
    double sum = 0;
    for (std::size_t index = 0; index < scenario.organisations; ++index) {
        result.push_back(std::pow(static_cast<double>(index + 1), -skew));
        sum += result.back();
    }
    for (auto& demand : result)
        demand *= scenario.requestsPerSecond / sum;
    return result;
}

auto disturb(Fakes::QuotaFleet& fleet, const std::string& trouble) -> void
{
    if (trouble == "third-cut")
        fleet.cutFirst(fleet.size() / 3);
    if (trouble == "third-alone") {
        for (std::size_t vm = 0; vm < fleet.size(); vm += 3)
            fleet.isolate(vm);
    }
}

auto send(Fakes::QuotaFleet& fleet, const Scenario& scenario, std::size_t organisation, double demand) -> void
{
    const auto vms = scenario.trouble == "two-vms" ? 2 : fleet.size();
    const bool isHot = scenario.trouble == "one-hot" && organisation == 0;
    const auto perStep = demand * (isHot ? hotFactor : 1) * std::chrono::duration<double>(step).count();
    for (auto left = perStep; left > 0; left -= 1) {
        if (fleet.world.chance(std::min(1.0, left)))
            fleet.request(fleet.world.below(vms) * 37 % fleet.size(), nameOf(organisation));
    }
}

auto sentMessages(const Fakes::QuotaFleet& fleet) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> result;
    for (std::size_t vm = 0; vm < fleet.size(); ++vm)
        result.push_back(fleet.sentMessages(vm));
    return result;
}

auto run(const Scenario& scenario) -> void
{
    Fakes::QuotaFleet fleet(scenario.seed, scenario.vms);
    const auto demand = demands(scenario);
    for (std::size_t index = 0; index < demand.size(); ++index) {
        const auto rate = demand[index] / usedShare;
        fleet.setQuota(nameOf(index), { rate, rate * scenario.burstSeconds });
    }
    fleet.startAll();
    fleet.world.runFor(std::chrono::seconds(scenario.warmUpSeconds));
    disturb(fleet, scenario.trouble);
    const auto before = sentMessages(fleet);
    const auto bytesBefore = fleet.world.traffic().bytes;
    for (Core::Duration passed {}; passed < std::chrono::seconds(scenario.seconds); passed += step) {
        for (std::size_t index = 0; index < demand.size(); ++index)
            send(fleet, scenario, index, demand[index]);
        fleet.world.runFor(step);
    }
    const auto after = sentMessages(fleet);
    const auto bytes = static_cast<double>(fleet.world.traffic().bytes - bytesBefore);
    fleet.world.runFor(std::chrono::seconds(1));
    std::uint64_t all = 0;
    std::uint64_t most = 0;
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        all += after[vm] - before[vm];
        most = std::max(most, after[vm] - before[vm]);
    }
    std::size_t requests = 0;
    std::size_t refused = 0;
    double waited = 0;
    for (std::size_t index = scenario.trouble == "one-hot" ? 1 : 0; index < demand.size(); ++index) {
        const auto& tally = fleet.tally(nameOf(index));
        requests += tally.requests;
        refused += tally.refused;
        waited += Core::asMillis(tally.waited);
    }
    const auto vmSeconds = static_cast<double>(scenario.vms * scenario.seconds);
    const auto& first = fleet.tally(nameOf(0));
    std::cout << scenario.vms << " VMs, " << scenario.organisations << " organisations, " << scenario.trouble << ": "
              << requests << " requests, refused "
              << 100.0 * static_cast<double>(refused) / static_cast<double>(requests) << " %, waited "
              << waited / static_cast<double>(requests) << " ms; messages a VM and second "
              << static_cast<double>(all) / vmSeconds << ", of one VM at most "
              << static_cast<double>(most) / static_cast<double>(scenario.seconds) << ", bytes a VM and second "
              << bytes / vmSeconds << "; the largest organisation ran "
              << static_cast<double>(first.runs.size()) / static_cast<double>(scenario.seconds) << " of "
              << demand[0] / usedShare << " a second\n";
}

} // namespace

auto main(int argc, char** argv) -> int
{
    Scenario scenario;
    po::options_description options("Options");
    options.add_options()("vms", po::value(&scenario.vms)->default_value(84))(
        "organisations", po::value(&scenario.organisations)->default_value(84))(
        "rate", po::value(&scenario.requestsPerSecond)->default_value(1500), "requests a second")("burst",
        po::value(&scenario.burstSeconds)->default_value(1),
        "burst of each quota, in seconds of its rate")("seed", po::value(&scenario.seed)->default_value(1))(
        "seconds", po::value(&scenario.seconds)->default_value(10))("warm-up",
        po::value(&scenario.warmUpSeconds)->default_value(20), "seconds without requests at first")("trouble",
        po::value(&scenario.trouble)->default_value("calm"), "calm, two-vms, third-cut, third-alone or one-hot");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    run(scenario);
    return 0;
}
