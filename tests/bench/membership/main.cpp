#include "auto/membership/gossipcluster.h"

#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

// Measures the cost of membership per member, for several numbers of failure domains and members: messages, payload
// bytes, processor time, and the time until no member lists a killed member as alive. Runs in virtual time with the
// production codec.

namespace {

using nlohmann::json;

constexpr std::uint64_t seed = 1;
constexpr Core::Millis settleTime { 30'000 };
constexpr Core::Millis window { 20'000 };
constexpr Core::Millis step { 20 };
constexpr Core::Millis detectionLimit { 30'000 };

struct ClusterSize {
    std::size_t failureDomains = 1;
    std::size_t membersPerDomain = 5;
};

/// Averages per member, and the time to detect a killed member.
struct Row {
    ClusterSize size;
    double messagesPerSecond = 0;
    double bytesPerSecond = 0;
    double corePercent = 0;
    double detectionMs = 0;
};

auto nodeSpecs(const ClusterSize& size) -> std::vector<GossipCluster::NodeSpec>
{
    std::vector<GossipCluster::NodeSpec> nodeSpecs;
    for (std::size_t domain = 0; domain < size.failureDomains; ++domain) {
        for (std::size_t index = 0; index < size.membersPerDomain; ++index) {
            const auto name = "fd-" + std::to_string(domain);
            nodeSpecs.push_back({ name + "-vm-" + std::to_string(index), name });
        }
    }
    return nodeSpecs;
}

auto isAliveAnywhere(const GossipCluster& cluster, const std::string& vm) -> bool
{
    return std::any_of(
        cluster.nodes.begin(), cluster.nodes.end(), [&](const auto& node) { return cluster.isAlive(node.first, vm); });
}

auto detectionTime(GossipCluster& cluster) -> double
{
    const std::string killed = "fd-0-vm-1";
    cluster.stop(killed);
    Core::Duration elapsed {};
    while (isAliveAnywhere(cluster, killed) && elapsed < detectionLimit) {
        cluster.world.runFor(step);
        elapsed += step;
    }
    return Core::asMillis(elapsed);
}

auto measure(const ClusterSize& size) -> Row
{
    GossipCluster cluster(seed);
    cluster.startAll(nodeSpecs(size));
    cluster.world.runFor(settleTime);
    const auto before = cluster.world.traffic();
    const auto processorBefore = std::clock();
    cluster.world.runFor(window);
    const auto processor = static_cast<double>(std::clock() - processorBefore) / CLOCKS_PER_SEC;
    const auto after = cluster.world.traffic();
    constexpr double percent = 100;
    const auto members = size.failureDomains * size.membersPerDomain;
    const auto perMember = 1 / (static_cast<double>(members) * std::chrono::duration<double>(window).count());
    return { size, static_cast<double>(after.messages - before.messages) * perMember,
        static_cast<double>(after.bytes - before.bytes) * perMember, percent * processor * perMember,
        detectionTime(cluster) };
}

auto toJson(const Row& row) -> json
{
    return { { "failureDomains", row.size.failureDomains }, { "membersEach", row.size.membersPerDomain },
        { "messagesPerSecond", row.messagesPerSecond }, { "bytesPerSecond", row.bytesPerSecond },
        { "corePercent", row.corePercent }, { "detectionMs", row.detectionMs } };
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto rows = json::array();
    std::cout << " domains  members each  messages/s    bytes/s    core %  detection ms\n";
    for (const auto& size :
        { ClusterSize { 1, 5 }, ClusterSize { 1, 20 }, ClusterSize { 1, 50 }, ClusterSize { 1, 100 },
            ClusterSize { 1, 200 }, ClusterSize { 6, 5 }, ClusterSize { 15, 5 }, ClusterSize { 33, 5 } }) {
        const auto row = measure(size);
        std::cout << std::fixed << std::setw(8) << row.size.failureDomains << std::setw(14) << row.size.membersPerDomain
                  << std::setprecision(1) << std::setw(12) << row.messagesPerSecond << std::setw(11)
                  << row.bytesPerSecond << std::setprecision(3) << std::setw(10) << row.corePercent
                  << std::setprecision(0) << std::setw(14) << row.detectionMs << std::endl;
        rows.push_back(toJson(row));
    }
    if (argc > 1)
        std::ofstream(argv[1]) << rows.dump(2) << '\n';
    return 0;
}
