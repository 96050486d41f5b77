#include "configuration/configurationholder.h"
#include "steering/lookupservice.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

namespace {

using nlohmann::json;

constexpr std::uint16_t siteCount = 680;
constexpr std::size_t failureDomainCount = 33;
constexpr std::size_t vmsPerFailureDomain = 200;
constexpr std::size_t serviceCount = 3;
constexpr std::size_t queryCount = 1'000'000;

class FixedClock : public Ports::Clock {
public:
    [[nodiscard]] auto now() const -> Core::Instant override { return Core::Instant(Core::Millis(1'000'000)); }
    [[nodiscard]] auto wallTime() const -> Core::WallTime override { return {}; }
};

class SeededRandom : public Ports::RandomSource {
public:
    auto next() -> std::uint64_t override { return m_engine(); }

private:
    std::mt19937_64 m_engine { 3 };
};

class FixedMembership : public Membership::MembershipView {
public:
    [[nodiscard]] auto members() const -> std::vector<Membership::Member> override { return list; }
    [[nodiscard]] auto find(const Core::EntryVmId&) const -> std::optional<Membership::Member> override { return {}; }

    std::vector<Membership::Member> list;
};

auto domainName(std::size_t index) -> std::string { return "domain-" + std::to_string(index); }

auto sites() -> std::vector<Steering::Site>
{
    std::vector<Steering::Site> all;
    for (std::size_t index = 0; index < siteCount; ++index) {
        Steering::Site site { "site-" + std::to_string(index), {} };
        for (std::size_t near = 0; near < 3; ++near)
            site.failureDomains.emplace_back(domainName((index + near) % failureDomainCount));
        all.push_back(std::move(site));
    }
    return all;
}

/// Returns distinct random client blocks, half of them IPv4.
auto randomBlocks(std::size_t count, std::mt19937_64& random) -> std::vector<Steering::ClientBlock>
{
    std::set<std::uint64_t> ipv4;
    std::set<std::uint64_t> ipv6;
    while (ipv4.size() < count / 2)
        ipv4.insert(random() % Steering::ipv4BlockCount);
    while (ipv6.size() < count - count / 2)
        ipv6.insert(random() % Steering::ipv6BlockCount);
    std::vector<Steering::ClientBlock> blocks;
    for (const auto prefix : ipv4)
        blocks.push_back({ Core::AddressFamily::IPv4, prefix });
    for (const auto prefix : ipv6)
        blocks.push_back({ Core::AddressFamily::IPv6, prefix });
    return blocks;
}

auto addressOf(const Steering::ClientBlock& block) -> Core::ClientAddress
{
    Core::ClientAddress address { block.family, {} };
    const std::size_t length = block.family == Core::AddressFamily::IPv4 ? 3 : 6;
    for (std::size_t index = 0; index < length; ++index)
        address.bytes.at(length - 1 - index) = static_cast<std::uint8_t>(block.prefix >> (8 * index));
    return address;
}

auto configuration() -> Configuration::SteeringConfiguration
{
    Configuration::SteeringConfiguration result;
    result.version = Core::Version(1);
    for (std::size_t index = 0; index < serviceCount; ++index) {
        Configuration::ServicePolicy policy;
        policy.service = Core::ServiceId("service-" + std::to_string(index));
        result.services[policy.service] = policy;
    }
    return result;
}

auto members() -> std::vector<Membership::Member>
{
    std::vector<Membership::Member> all;
    for (std::size_t index = 0; index < failureDomainCount * vmsPerFailureDomain; ++index) {
        Membership::Member member;
        const auto name = "vm-" + std::to_string(index);
        member.vm = { Core::EntryVmId(name), Core::FailureDomainId(domainName(index % failureDomainCount)),
            Core::RegionId("region-" + std::to_string(index % failureDomainCount / 2)), Core::Address("10.0.0.1:8080"),
            Core::Address("10.0.0.1:8081") };
        for (const auto configured = configuration(); const auto& [service, policy] : configured.services)
            member.loads.push_back({ service, Core::SlotCount(4), Core::SlotCount(2), 0, Core::Millis(10) });
        member.keyPrefix = name + ":0123456789abcdef0123456789abcdef:1::00000000000000000000000000000000";
        all.push_back(std::move(member));
    }
    return all;
}

template <typename Work> auto averageNanoseconds(std::size_t count, Work work) -> double
{
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < count; ++index)
        work(index);
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / static_cast<double>(count);
}

auto measure(std::size_t blockCount) -> json
{
    std::mt19937_64 random(blockCount);
    const auto blocks = randomBlocks(blockCount, random);
    Steering::LookupTable::Builder builder(sites());
    std::vector<Steering::BlockRange> ranges;
    for (const auto& block : blocks)
        ranges.push_back({ block, 1, Steering::SiteIndex(static_cast<std::uint16_t>(random() % siteCount)) });
    if (!builder.add(ranges))
        throw std::runtime_error("a generated block range is not valid");
    auto table = builder.finish();
    if (!table)
        throw std::runtime_error(describe(table.error()));
    std::vector<Ports::LookupQuery> queries;
    std::vector<Steering::ClientBlock> queriedBlocks;
    for (std::size_t index = 0; index < queryCount; ++index) {
        queriedBlocks.push_back(blocks[random() % blocks.size()]);
        queries.push_back(
            { Core::ServiceId("service-" + std::to_string(random() % serviceCount)), addressOf(queriedBlocks.back()) });
    }
    std::uint64_t found = 0;
    const auto findCost = averageNanoseconds(
        queryCount, [&](std::size_t index) { found += table->find(queriedBlocks[index]).has_value() ? 1 : 0; });
    const auto bytes = table->size().value();

    const FixedClock clock;
    SeededRandom source;
    Configuration::ConfigurationHolder configurations;
    configurations.offer(configuration());
    const Fleet::FleetHolder fleet;
    FixedMembership membership;
    membership.list = members();
    Steering::LookupTableHolder holder;
    holder.replace(std::move(*table));
    Steering::LookupService service({ clock, source, configurations, fleet, membership, holder },
        Core::FailureDomainId(domainName(0)), Core::RegionId("region-0"));
    const auto planCost = averageNanoseconds(1, [&](std::size_t) { (void)service.lookup(queries.front()); });
    std::size_t targets = 0;
    const auto lookupCost = averageNanoseconds(
        queryCount, [&](std::size_t index) { targets += service.lookup(queries[index])->targets.size(); });
    return { { "blocks", blockCount }, { "tableBytes", bytes }, { "found", found }, { "targets", targets },
        { "findNs", findCost }, { "lookupNs", lookupCost }, { "planMs", planCost / 1e6 } };
}

} // namespace

/// Usage: bench_lookup [FILE]. Prints a table to the standard output and writes JSON to FILE.
auto main(int argc, char** argv) -> int
{
    auto results = json::array();
    std::cout << "   blocks  table bytes  find ns  look-up ns  plan ms\n";
    for (const std::size_t blocks : { 10'000U, 100'000U, 1'400'000U }) {
        results.push_back(measure(blocks));
        const auto& result = results.back();
        std::printf("%9zu %12llu %8.0f %11.0f %8.1f\n", blocks,
            static_cast<unsigned long long>(result.at("tableBytes").get<std::uint64_t>()),
            result.at("findNs").get<double>(), result.at("lookupNs").get<double>(), result.at("planMs").get<double>());
    }
    if (argc > 1)
        std::ofstream(argv[1]) << results.dump(1) << '\n';
    return 0;
}
