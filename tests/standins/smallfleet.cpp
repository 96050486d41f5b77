#include "standins/smallfleet.h"

#include "standins/blockingclient.h"

#include <stdexcept>

namespace StandIns {

using nlohmann::json;

namespace {

    constexpr auto anyPort = "127.0.0.1:0";
    constexpr int connectionsPerUpstream = 360;

    auto loopback(int port) -> Core::Address { return Core::Address("127.0.0.1:" + std::to_string(port)); }

    auto listeningAddress(const ChildProcess& process) -> Core::Address
    {
        const auto line = process.waitForLine("listening ");
        return loopback(std::stoi(line.substr(line.find(' '))));
    }

    auto policyJson(const ServiceShape& service) -> json
    {
        return { { "rank", std::string(toString(service.rank)) }, { "idempotent", service.isIdempotent },
            { "backup", service.needsBackup } };
    }

} // namespace

auto smallPeachtree() -> FleetShape
{
    using Core::FailureDomainId;
    using Core::RegionId;
    using Core::ServiceId;
    FleetShape shape;
    shape.failureDomains = { { FailureDomainId("atl-1"), RegionId("atl"), 2 },
        { FailureDomainId("atl-2"), RegionId("atl"), 2 }, { FailureDomainId("sav-1"), RegionId("sav"), 2 } };
    shape.services = { { ServiceId("stock"), Core::Rank::Urgent, true, 2, 3, 10 },
        { ServiceId("booking"), Core::Rank::Normal, false, 2, 3, 20 },
        { ServiceId("audit"), Core::Rank::Deferrable, true, 2, 3, 40 } };
    return shape;
}

SmallFleet::SmallFleet(Programs programs, FleetShape shape)
    : m_programs(std::move(programs))
    , m_shape(std::move(shape))
    , m_platform(std::make_unique<ChildProcess>(m_programs.standIns, std::vector<std::string> { "platform" }))
    , m_platformAddress(listeningAddress(*m_platform))
{
    publishDocument();
    for (const auto& failureDomain : m_shape.failureDomains) {
        startUpstreams(failureDomain);
        for (int index = 1; index <= failureDomain.entryVmCount; ++index) {
            const Core::EntryVmId id(failureDomain.id.value() + "-vm-" + std::to_string(index));
            m_entryVms[id] = { failureDomain, nullptr, Core::Address(anyPort), Core::Address(anyPort) };
        }
    }
    for (auto& [id, vm] : m_entryVms)
        startEntryVm(id, vm);
    publishFleetList();
}

SmallFleet::~SmallFleet() = default;

auto SmallFleet::startUpstreams(const FailureDomainShape& failureDomain) -> void
{
    for (const auto& service : m_shape.services) {
        for (int index = 1; index <= service.upstreamsPerFailureDomain; ++index) {
            const Core::UpstreamId id(
                failureDomain.id.value() + "-" + service.service.value() + "-" + std::to_string(index));
            const std::vector<std::string> arguments { "upstream", "--slots", std::to_string(service.slots),
                "--service-ms", std::to_string(service.serviceMs) };
            auto& upstream = m_upstreams[id];
            upstream = { failureDomain, service, std::make_unique<ChildProcess>(m_programs.standIns, arguments) };
            upstream.address = listeningAddress(*upstream.process);
        }
    }
}

auto SmallFleet::startEntryVm(const Core::EntryVmId& id, RunningEntryVm& vm) -> void
{
    std::vector<std::string> arguments { "serve", "--id", id.value(), "--failure-domain", vm.failureDomain.id.value(),
        "--region", vm.failureDomain.region.value(), "--listen", vm.address.value(), "--peer-listen",
        vm.peerAddress.value(), "--store", m_platformAddress.value() };
    arguments.insert(arguments.end(), m_shape.serveFlags.begin(), m_shape.serveFlags.end());
    vm.process = std::make_unique<ChildProcess>(m_programs.dragonflywinch, arguments);
    const auto started = json::parse(vm.process->waitForLine("process.started"));
    vm.address = loopback(std::stoi(started.at("port").get<std::string>()));
    vm.peerAddress = loopback(std::stoi(started.at("peerPort").get<std::string>()));
}

auto SmallFleet::publishDocument() -> void
{
    json services = json::object();
    for (const auto& service : m_shape.services)
        services[service.service.value()] = policyJson(service);
    put("steering/document", 0, { { "sections", { { "rental-desk", { { "services", services } } } } } });
}

auto SmallFleet::publishFleetList() -> void
{
    json entryVms = json::array();
    for (const auto& [id, vm] : m_entryVms) {
        entryVms.push_back({ { "id", id.value() }, { "failureDomain", vm.failureDomain.id.value() },
            { "region", vm.failureDomain.region.value() }, { "address", vm.address.value() },
            { "peerAddress", vm.peerAddress.value() } });
    }
    json upstreams = json::array();
    for (const auto& [id, upstream] : m_upstreams) {
        upstreams.push_back({ { "id", id.value() }, { "service", upstream.service.service.value() },
            { "failureDomain", upstream.failureDomain.id.value() }, { "region", upstream.failureDomain.region.value() },
            { "address", upstream.address.value() }, { "slots", upstream.service.slots },
            { "connections", connectionsPerUpstream }, { "state", upstream.isLeaving ? "leaving" : "live" } });
    }
    put("fleet/list", m_fleetListVersion++, { { "entryVms", entryVms }, { "upstreams", upstreams } });
}

auto SmallFleet::put(const std::string& name, std::uint64_t expected, const json& value) -> void
{
    const auto reply = exchange({ m_platformAddress, "PUT", "/v1/objects/" + name,
        { { "If-Match", std::to_string(expected) } }, value.dump() });
    if (!reply || reply->status != 200)
        throw std::runtime_error("the platform stand-in did not take " + name);
}

auto SmallFleet::waitUntilConfigured() -> void
{
    for (const auto& [id, vm] : m_entryVms) {
        (void)vm.process->waitForLine("configuration.taken");
        (void)vm.process->waitForLine("fleet.taken");
    }
}

auto SmallFleet::restart(const Core::EntryVmId& vm) -> void { startEntryVm(vm, m_entryVms.at(vm)); }

auto SmallFleet::announceLeaving(const Core::UpstreamId& upstream) -> void
{
    m_upstreams.at(upstream).isLeaving = true;
    publishFleetList();
}

auto SmallFleet::setFaults(const Core::Address& standIn, const json& faults) -> void
{
    const auto reply = exchange({ standIn, "POST", "/admin/faults", {}, faults.dump() });
    if (!reply || reply->status != 200)
        throw std::runtime_error("the stand-in at " + standIn.value() + " took no faults");
}

auto SmallFleet::book() -> std::map<std::string, std::uint64_t>
{
    std::map<std::string, std::uint64_t> runs;
    for (const auto& [id, upstream] : m_upstreams) {
        const auto reply = exchange({ upstream.address, "GET", "/admin/book", {}, "" });
        if (!reply)
            throw std::runtime_error("the book of " + id.value() + " cannot be read");
        const auto book = json::parse(reply->body);
        for (const auto& [key, count] : book.at("runs").items())
            runs[key] += count.get<std::uint64_t>();
    }
    return runs;
}

auto SmallFleet::entryVmIds() const -> std::vector<Core::EntryVmId>
{
    std::vector<Core::EntryVmId> ids;
    for (const auto& [id, vm] : m_entryVms)
        ids.push_back(id);
    return ids;
}

auto SmallFleet::upstreamIds() const -> std::vector<Core::UpstreamId>
{
    std::vector<Core::UpstreamId> ids;
    for (const auto& [id, upstream] : m_upstreams)
        ids.push_back(id);
    return ids;
}

auto SmallFleet::addressOf(const Core::EntryVmId& vm) const -> Core::Address { return m_entryVms.at(vm).address; }

auto SmallFleet::addressOf(const Core::UpstreamId& upstream) const -> Core::Address
{
    return m_upstreams.at(upstream).address;
}

auto SmallFleet::addresses() const -> std::vector<Core::Address>
{
    std::vector<Core::Address> addresses;
    for (const auto& [id, vm] : m_entryVms)
        addresses.push_back(vm.address);
    return addresses;
}

auto SmallFleet::process(const Core::EntryVmId& vm) -> ChildProcess& { return *m_entryVms.at(vm).process; }

auto SmallFleet::process(const Core::UpstreamId& upstream) -> ChildProcess&
{
    return *m_upstreams.at(upstream).process;
}

} // namespace StandIns
