#include "fakes/booking/bookingfleet.h"

#include <algorithm>

namespace Fakes {

namespace {

    const NodeId callerNode { "caller" };

    auto configuration() -> Configuration::SteeringConfiguration
    {
        Configuration::SteeringConfiguration steeringConfiguration;
        steeringConfiguration.version = Core::Version(1);
        for (const auto* service : { "booking", "hold" }) {
            Configuration::ServicePolicy policy;
            policy.service = Core::ServiceId(service);
            policy.isIdempotent = false;
            policy.needsBackup = policy.service.value() == "booking";
            steeringConfiguration.services[policy.service] = policy;
        }
        return steeringConfiguration;
    }

} // namespace

auto FakeMembers::members() const -> std::vector<Membership::Member>
{
    std::vector<Membership::Member> all;
    for (const auto& [vm, member] : knownMembers)
        all.push_back(member);
    return all;
}

auto FakeMembers::find(const Core::EntryVmId& vm) const -> std::optional<Membership::Member>
{
    const auto found = knownMembers.find(vm);
    return found == knownMembers.end() ? std::nullopt : std::optional(found->second);
}

auto FleetEventRecorder::add(const Core::EntryVmId& vm, Core::Instant time, const Ports::Event& event) -> void
{
    auto line = std::to_string(time.time_since_epoch().count()) + " " + vm.value() + " " + event.kind.value() + " "
        + event.request.value();
    for (const auto& field : event.fields)
        line += " " + field.name + "=" + field.value;
    m_lines.push_back(std::move(line));
}

auto FleetEventRecorder::count(const std::string& text) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        m_lines.begin(), m_lines.end(), [&](const auto& line) { return line.find(text) != std::string::npos; }));
}

BookingNode::BookingNode(VirtualWorld& world, const Fleet::EntryVm& vm, Core::Incarnation incarnation,
    const Ledger::LedgerLimits& limits, AtMostOnceChecker& checker, FleetEventRecorder& events,
    const Configuration::ConfigurationSource& configuration, FakeMembers& members, const Fleet::FleetSource& fleet)
    : vm(vm)
    , incarnation(incarnation)
    , ports(world, vm.peerAddress)
    , upstreams(world, vm.peerAddress, checker)
    , peers(ports, members, fleet, world)
    , system({ world, ports, members, *this, upstreams, peers, peers, fleet },
          { vm.id, incarnation, vm.failureDomain, vm.region }, limits)
    , m_world(world)
    , m_events(events)
{
    LedgerPeer::registerHandlers(ports, system.backup(), system.coordinator(), configuration, world);
}

BookingFleet::BookingFleet(std::uint64_t seed, std::size_t size, const Ledger::LedgerLimits& limits)
    : world(seed)
    , m_limits(limits)
    , m_views(size)
    , m_nodes(size)
{
    m_configuration.offer(configuration());
    Fleet::FleetList list { Core::Version(1), {}, {} };
    for (std::size_t index = 0; index < size; ++index)
        list.entryVms.push_back(vm(index));
    m_fleet.offer(std::move(list));
    for (std::size_t index = 0; index < size; ++index)
        makeProcess(index);
    updateAllViews();
    for (const auto& node : m_nodes)
        node->system.start();
}

auto BookingFleet::name(std::size_t index) -> Core::EntryVmId { return Core::EntryVmId("vm-" + std::to_string(index)); }

auto BookingFleet::address(std::size_t index) -> Core::Address
{
    return Core::Address("10.0.0." + std::to_string(index + 1) + ":1");
}

auto BookingFleet::vm(std::size_t index) -> Fleet::EntryVm
{
    return { name(index), Core::FailureDomainId("atl-" + std::to_string(index)), Core::RegionId("atl"), address(index),
        address(index), Fleet::MemberState::Live };
}

auto BookingFleet::makeProcess(std::size_t index) -> void
{
    const Core::Incarnation incarnation { 1, ++m_lastIncarnation };
    m_nodes.at(index) = std::make_unique<BookingNode>(
        world, vm(index), incarnation, m_limits, checker, events, m_configuration, m_views.at(index), m_fleet);
}

auto BookingFleet::start(std::size_t index) -> void
{
    makeProcess(index);
    updateView(index);
    m_nodes.at(index)->system.start();
}

auto BookingFleet::startWithEmptyView(std::size_t index) -> void
{
    makeProcess(index);
    m_views.at(index).knownMembers.clear();
    m_nodes.at(index)->system.start();
}

auto BookingFleet::crash(std::size_t index) -> void
{
    world.crash(address(index));
    m_terminated.push_back(std::move(m_nodes.at(index)));
}

auto BookingFleet::updateView(std::size_t observer) -> void
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        auto& member = m_views.at(observer).knownMembers[name(index)];
        member.vm = vm(index);
        member.health = m_nodes.at(index) ? Membership::MemberHealth::Alive : Membership::MemberHealth::Suspected;
        if (m_nodes.at(index))
            member.incarnation = m_nodes.at(index)->incarnation;
    }
}

auto BookingFleet::updateAllViews() -> void
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index)
        updateView(index);
}

auto BookingFleet::suspect(std::size_t observer, std::size_t suspected) -> void
{
    if (const auto member = m_views.at(observer).knownMembers.find(name(suspected));
        member != m_views.at(observer).knownMembers.end())
        member->second.health = Membership::MemberHealth::Suspected;
}

auto BookingFleet::freshKey(std::size_t home, bool needsBackup) -> std::optional<Core::RequestKey>
{
    if (!m_nodes.at(home))
        return std::nullopt;
    auto prefix = Core::parseKeyPrefix(m_nodes.at(home)->system.prefixes().currentPrefix(needsBackup));
    if (!prefix)
        return std::nullopt;
    return Core::RequestKey { std::move(*prefix), "k" + std::to_string(++m_lastUnique) };
}

auto BookingFleet::backupOf(const Core::RequestKey& key) const -> std::size_t
{
    std::size_t index = 0;
    while (name(index) != key.prefix.backup)
        ++index;
    return index;
}

auto BookingFleet::send(std::size_t via, const Core::RequestKey& key, const std::string& service,
    Core::Duration timeout, const std::string& body) -> PendingReply
{
    auto reply = std::make_shared<std::optional<Core::Reply>>();
    Core::ServiceRequest request;
    request.id = Core::RequestId("r-" + std::to_string(++m_lastRequest));
    request.service = Core::ServiceId(service);
    request.deadline = world.now() + timeout;
    request.key = key;
    request.body = body;
    auto* entry = node(via);
    if (entry == nullptr)
        return reply;
    const auto* policy = m_configuration.current()->find(request.service);
    const auto answered = [this, key, reply, id = request.id](Core::Reply result) {
        world.post(callerNode, {}, [this, key, reply, result = std::move(result)] {
            checker.recordReply(toString(key), result);
            *reply = result;
        });
    };
    world.bind(entry->vm.peerAddress,
        [entry, request, policy, answered] { entry->system.coordinator().execute(request, *policy, answered); })();
    return reply;
}

} // namespace Fakes
