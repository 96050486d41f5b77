#include "standins/localfleet.h"

#include "standins/blockingclient.h"

#include <stdexcept>

namespace StandIns {

using nlohmann::json;

namespace {

    constexpr auto anyPortAddress = "127.0.0.1:0";
    constexpr int connectionsPerUpstream = 360;

    auto loopback(int port) -> Core::Address { return Core::Address("127.0.0.1:" + std::to_string(port)); }

    auto listeningAddress(const ChildProcess& process) -> Core::Address
    {
        const auto line = process.waitForLine("listening ");
        return loopback(std::stoi(line.substr(line.find(' '))));
    }

    auto policyJson(const ServiceSpec& service) -> json
    {
        return { { "rank", std::string(toString(service.rank)) }, { "idempotent", service.isIdempotent },
            { "backup", service.needsBackup } };
    }

} // namespace

auto smallPeachtreeSpec() -> FleetSpec
{
    using Core::FailureDomainId;
    using Core::RegionId;
    using Core::ServiceId;
    FleetSpec spec;
    spec.failureDomains = { { FailureDomainId("atl-1"), RegionId("atl"), 2 },
        { FailureDomainId("atl-2"), RegionId("atl"), 2 }, { FailureDomainId("sav-1"), RegionId("sav"), 2 } };
    spec.services = { { ServiceId("stock"), Core::Rank::Urgent, true, 2, 3, 10 },
        { ServiceId("booking"), Core::Rank::Normal, false, 2, 3, 20 },
        { ServiceId("audit"), Core::Rank::Deferrable, true, 2, 3, 40 } };
    return spec;
}

LocalFleet::LocalFleet(ProgramPaths programPaths, FleetSpec spec)
    : m_programPaths(std::move(programPaths))
    , m_spec(std::move(spec))
    , m_platform(std::make_unique<ChildProcess>(m_programPaths.standIns, std::vector<std::string> { "platform" }))
    , m_platformAddress(listeningAddress(*m_platform))
{
    publishDocument();
    for (const auto& failureDomain : m_spec.failureDomains) {
        startUpstreams(failureDomain);
        for (int index = 1; index <= failureDomain.entryVmCount; ++index) {
            const Core::EntryVmId id(failureDomain.id.value() + "-vm-" + std::to_string(index));
            m_entryVms[id] = { failureDomain, nullptr, Core::Address(anyPortAddress), Core::Address(anyPortAddress) };
        }
    }
    for (auto& [id, vm] : m_entryVms)
        startEntryVm(id, vm);
    publishFleetList();
}

LocalFleet::~LocalFleet() = default;

auto LocalFleet::startUpstreams(const FailureDomainSpec& failureDomain) -> void
{
    for (const auto& service : m_spec.services) {
        for (int index = 1; index <= service.upstreamsPerFailureDomain; ++index) {
            const Core::UpstreamId id(
                failureDomain.id.value() + "-" + service.service.value() + "-" + std::to_string(index));
            const std::vector<std::string> arguments { "upstream", "--slots", std::to_string(service.slots),
                "--service-ms", std::to_string(service.serviceMs) };
            auto& upstream = m_upstreams[id];
            upstream = { failureDomain, service, std::make_unique<ChildProcess>(m_programPaths.standIns, arguments) };
            upstream.address = listeningAddress(*upstream.process);
        }
    }
}

auto LocalFleet::startEntryVm(const Core::EntryVmId& id, RunningEntryVm& vm) -> void
{
    std::vector<std::string> arguments { "serve", "--id", id.value(), "--failure-domain", vm.failureDomain.id.value(),
        "--region", vm.failureDomain.region.value(), "--listen", vm.address.value(), "--peer-listen",
        vm.peerAddress.value(), "--store", m_platformAddress.value() };
    arguments.insert(arguments.end(), m_spec.serveFlags.begin(), m_spec.serveFlags.end());
    vm.process = std::make_unique<ChildProcess>(m_programPaths.dragonflywinch, arguments);
    const auto started = json::parse(vm.process->waitForLine("process.started"));
    vm.address = loopback(std::stoi(started.at("port").get<std::string>()));
    vm.peerAddress = loopback(std::stoi(started.at("peerPort").get<std::string>()));
}

auto LocalFleet::publishDocument() -> void
{
    json services = json::object();
    for (const auto& service : m_spec.services)
        services[service.service.value()] = policyJson(service);
    writeObject("steering/document", 0, { { "sections", { { "rental-desk", { { "services", services } } } } } });
}

auto LocalFleet::publishFleetList() -> void
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
    writeObject("fleet/list", m_fleetListVersion++, { { "entryVms", entryVms }, { "upstreams", upstreams } });
}

auto LocalFleet::writeObject(const std::string& name, std::uint64_t expectedVersion, const json& value) -> void
{
    const auto reply = exchange({ m_platformAddress, "PUT", "/v1/objects/" + name,
        { { "If-Match", std::to_string(expectedVersion) } }, value.dump() });
    if (!reply || reply->status != 200)
        throw std::runtime_error("the platform stand-in did not accept " + name);
}

auto LocalFleet::waitUntilConfigured() -> void
{
    for (const auto& [id, vm] : m_entryVms) {
        (void)vm.process->waitForLine("configuration.taken");
        (void)vm.process->waitForLine("fleet.taken");
    }
}

auto LocalFleet::restart(const Core::EntryVmId& vm) -> void { startEntryVm(vm, m_entryVms.at(vm)); }

auto LocalFleet::markLeaving(const Core::UpstreamId& upstream) -> void
{
    m_upstreams.at(upstream).isLeaving = true;
    publishFleetList();
}

auto LocalFleet::setFaults(const Core::Address& standIn, const json& faults) -> void
{
    const auto reply = exchange({ standIn, "POST", "/admin/faults", {}, faults.dump() });
    if (!reply || reply->status != 200)
        throw std::runtime_error("the stand-in at " + standIn.value() + " did not accept the faults");
}

auto LocalFleet::runCounts() -> std::map<std::string, std::uint64_t>
{
    std::map<std::string, std::uint64_t> runs;
    for (const auto& [id, upstream] : m_upstreams) {
        const auto reply = exchange({ upstream.address, "GET", "/admin/book", {}, "" });
        if (!reply)
            throw std::runtime_error("the run counts of " + id.value() + " are not available");
        const auto counts = json::parse(reply->body);
        for (const auto& [key, count] : counts.at("runs").items())
            runs[key] += count.get<std::uint64_t>();
    }
    return runs;
}

auto LocalFleet::entryVmIds() const -> std::vector<Core::EntryVmId>
{
    std::vector<Core::EntryVmId> ids;
    for (const auto& [id, vm] : m_entryVms)
        ids.push_back(id);
    return ids;
}

auto LocalFleet::upstreamIds() const -> std::vector<Core::UpstreamId>
{
    std::vector<Core::UpstreamId> ids;
    for (const auto& [id, upstream] : m_upstreams)
        ids.push_back(id);
    return ids;
}

auto LocalFleet::addressOf(const Core::EntryVmId& vm) const -> Core::Address { return m_entryVms.at(vm).address; }

auto LocalFleet::addressOf(const Core::UpstreamId& upstream) const -> Core::Address
{
    return m_upstreams.at(upstream).address;
}

auto LocalFleet::addresses() const -> std::vector<Core::Address>
{
    std::vector<Core::Address> addresses;
    for (const auto& [id, vm] : m_entryVms)
        addresses.push_back(vm.address);
    return addresses;
}

auto LocalFleet::process(const Core::EntryVmId& vm) -> ChildProcess& { return *m_entryVms.at(vm).process; }

auto LocalFleet::process(const Core::UpstreamId& upstream) -> ChildProcess&
{
    return *m_upstreams.at(upstream).process;
}

} // namespace StandIns
