#include "fakes/steering/steeringfleet.h"

#include "fakes/worldrandom.h"

#include <algorithm>

namespace Fakes {

const Core::ServiceId SteeringFleet::stock { "stock" };
const Core::ServiceId SteeringFleet::booking { "booking" };

namespace {

    constexpr Core::Millis tickLength { 5 };
    constexpr Core::Millis membershipInterval { 200 };
    constexpr Core::Millis requestTimeout { 1000 };
    constexpr double bookingShare = 0.2;

    class NullObjectStore : public Ports::ObjectStore {
    public:
        auto read(const std::string&, ObjectCallback) -> void override { }
        auto write(const std::string&, Core::Version, std::string, VersionCallback) -> void override { }
        auto watch(const std::string&, Core::Version, Core::Duration, ObjectCallback) -> void override { }
    };

    class NullEventSink : public Ports::EventSink {
    public:
        auto record(Ports::Event) -> void override { }
    };

    class NullClientBlockDecoder : public Steering::ClientBlockDecoder {
    public:
        [[nodiscard]] auto manifest(const std::string&) const -> Core::Result<Steering::ClientBlockManifest> override
        {
            return Core::fail(Core::ErrorKind::NotFound, "none", "");
        }
        [[nodiscard]] auto chunk(const std::string&) const -> Core::Result<std::vector<Steering::BlockRange>> override
        {
            return Core::fail(Core::ErrorKind::NotFound, "none", "");
        }
    };

    class FakeMembership : public Membership::MembershipView {
    public:
        [[nodiscard]] auto members() const -> std::vector<Membership::Member> override { return list; }
        [[nodiscard]] auto find(const Core::EntryVmId&) const -> std::optional<Membership::Member> override
        {
            return std::nullopt;
        }

        std::vector<Membership::Member> list;
    };

    /// Reports the size of each relayed request.
    class CountingRelays : public Steering::RelayPort {
    public:
        using Count = std::function<void(const Fleet::EntryVm& target, std::size_t bytes)>;

        CountingRelays(Steering::RelayPort& next, Count count)
            : m_next(next)
            , m_count(std::move(count))
        {
        }
        auto relay(const Fleet::EntryVm& target, Steering::RelayCall call, Steering::RelayCallback callback)
            -> void override
        {
            m_count(target, call.request.body.size());
            m_next.relay(target, std::move(call), std::move(callback));
        }

    private:
        Steering::RelayPort& m_next;
        Count m_count;
    };

    /// Counts the granted credits and the requests answered on credit at the destination.
    class CountingHandlers : public Steering::RelayHandler, public Steering::CreditHandler {
    public:
        CountingHandlers(Steering::SteeringSystem& system, SteeringFleet::CreditCounts& counts)
            : m_system(system)
            , m_creditCounts(counts)
        {
        }
        auto accept(Steering::RelayCall call, Core::ReplyCallback callback) -> void override
        {
            if (!call.credit) {
                m_system.relayHandler().accept(std::move(call), std::move(callback));
                return;
            }
            m_system.relayHandler().accept(std::move(call), [this, callback](Core::Reply reply) {
                m_creditCounts.answeredOnCredit += std::holds_alternative<Core::Answer>(reply) ? 1 : 0;
                callback(std::move(reply));
            });
        }
        auto grant(const Steering::CreditRequest& request) -> Steering::CreditGrant override
        {
            const auto grant = m_system.creditHandler().grant(request);
            m_creditCounts.granted += grant.count;
            return grant;
        }

    private:
        Steering::SteeringSystem& m_system;
        SteeringFleet::CreditCounts& m_creditCounts;
    };

} // namespace

/// Entry VM whose process can crash and restart under the same address.
class SteeringFleet::EntryVm {
public:
    struct Process {
        Process(SteeringFleet& fleet, const Fleet::EntryVm& vm, std::uint32_t slots)
            : node(fleet.m_world, vm.peerAddress)
            , random(fleet.m_world)
            , upstreams(fleet.m_world, vm.peerAddress, fleet.m_runs)
            , peer(node)
            , relays(peer,
                  [&fleet, vm](
                      const Fleet::EntryVm& target, std::size_t bytes) { fleet.countRelay(vm, target, bytes); })
            , system({ fleet.m_world, random, node, store, events, fleet.m_configuration, fleet.m_fleet, members,
                         upstreams, upstreams, relays, peer, blocks },
                  { vm.id, vm.failureDomain, vm.region })
            , handlers(system, fleet.m_creditCountsByDomain[vm.failureDomain.value()])
        {
            upstreams.setSlots(stock, slots);
            upstreams.setSlots(booking, slots);
            RelayPeer::registerRelayHandlers(node, handlers, handlers);
        }

        VirtualNode node;
        WorldRandom random;
        NullObjectStore store;
        NullEventSink events;
        NullClientBlockDecoder blocks;
        FakeMembership members;
        SlotDispatcher upstreams;
        RelayPeer::RelayPeer peer;
        CountingRelays relays;
        Steering::SteeringSystem system;
        CountingHandlers handlers;
    };

    Fleet::EntryVm vm;
    std::uint32_t slots = 0;
    std::unique_ptr<Process> process;
};

SteeringFleet::SteeringFleet(std::uint64_t seed, const std::vector<DomainSpec>& domains, std::size_t vmsPerDomain)
    : m_world(seed)
{
    Configuration::ServicePolicy policy;
    policy.service = stock;
    policy.rank = Core::Rank::Urgent;
    m_nextConfiguration.services[stock] = policy;
    policy.service = booking;
    policy.isIdempotent = false;
    m_nextConfiguration.services[booking] = policy;
    Fleet::FleetList list { Core::Version(1), {}, {} };
    for (const auto& domain : domains) {
        for (std::size_t index = 0; index < vmsPerDomain; ++index) {
            const auto name = domain.failureDomain + "-" + std::to_string(index);
            auto entryVm = std::make_unique<EntryVm>();
            entryVm->vm = { Core::EntryVmId(name), Core::FailureDomainId(domain.failureDomain),
                Core::RegionId(domain.region), Core::Address(name), Core::Address(name) };
            entryVm->slots = domain.slots;
            list.entryVms.push_back(entryVm->vm);
            m_vms.push_back(std::move(entryVm));
        }
    }
    m_fleet.offer(std::move(list));
    publish();
    for (std::size_t index = 0; index < m_vms.size(); ++index)
        restartVm(index);
    updateMembership();
}

SteeringFleet::~SteeringFleet() = default;

auto SteeringFleet::publish() -> void
{
    m_nextConfiguration.version = Core::Version(m_nextConfiguration.version.value() + 1);
    m_configuration.offer(m_nextConfiguration);
}

auto SteeringFleet::setSlots(const std::string& failureDomain, std::uint32_t slots) -> void
{
    for (auto* vm : runningVms(failureDomain)) {
        vm->slots = slots;
        vm->process->upstreams.setSlots(stock, slots);
        vm->process->upstreams.setSlots(booking, slots);
    }
}

auto SteeringFleet::crash(const std::string& failureDomain) -> void
{
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        if (m_vms[index]->vm.failureDomain.value() == failureDomain)
            crashVm(index);
    }
}

auto SteeringFleet::restart(const std::string& failureDomain) -> void
{
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        if (m_vms[index]->vm.failureDomain.value() == failureDomain)
            restartVm(index);
    }
}

auto SteeringFleet::crashVm(std::size_t index) -> void
{
    m_world.crash(m_vms[index]->vm.peerAddress);
    m_vms[index]->process.reset();
}

auto SteeringFleet::restartVm(std::size_t index) -> void
{
    if (m_vms[index]->process == nullptr)
        m_vms[index]->process = std::make_unique<EntryVm::Process>(*this, m_vms[index]->vm, m_vms[index]->slots);
}

auto SteeringFleet::cut(const std::string& one, const std::string& other) -> void
{
    m_cuts.insert(std::minmax(one, other));
    for (const auto& from : m_vms) {
        for (const auto& to : m_vms) {
            if (from->vm.failureDomain.value() == one && to->vm.failureDomain.value() == other)
                m_world.cut(from->vm.peerAddress, to->vm.peerAddress);
        }
    }
}

auto SteeringFleet::heal() -> void
{
    m_cuts.clear();
    m_world.heal();
}

auto SteeringFleet::run(Core::Duration duration) -> void
{
    const auto end = m_world.now() + duration;
    while (m_world.now() < end)
        tick();
}

auto SteeringFleet::finishInFlight() -> void
{
    m_arrivals.clear();
    run(requestTimeout * 3);
}

auto SteeringFleet::tick() -> void
{
    if (m_world.now() >= m_nextMembershipUpdate) {
        updateMembership();
        m_nextMembershipUpdate = m_world.now() + membershipInterval;
    }
    for (const auto& [failureDomain, perSecond] : m_arrivals) {
        auto& due = m_dueRequests[failureDomain];
        due += perSecond * std::chrono::duration<double>(tickLength).count();
        for (; due >= 1; due -= 1)
            sendFrom(failureDomain);
    }
    m_world.runFor(tickLength);
    for (const auto& vm : m_vms) {
        if (vm->process == nullptr)
            continue;
        auto& highest = m_creditCountsByDomain[vm->vm.failureDomain.value()].highestQueue;
        for (const auto& load : vm->process->upstreams.serviceLoads())
            highest = std::max<std::uint64_t>(highest, load.queued);
    }
}

auto SteeringFleet::sendFrom(const std::string& failureDomain) -> void
{
    const auto isIdempotent = !m_world.chance(bookingShare);
    const auto service = isIdempotent ? stock : booking;
    auto* vm = pickVm(failureDomain, service);
    if (vm == nullptr)
        return;
    Core::ServiceRequest request;
    request.id = Core::RequestId("r-" + std::to_string(m_nextId++));
    request.service = service;
    request.body.assign(bodyBytes, 'x');
    request.deadline = m_world.now() + requestTimeout;
    m_sent[request.id].isIdempotent = isIdempotent;
    ++m_requestCounts[failureDomain].sent;
    ++m_received[vm->vm.failureDomain.value()];
    const auto id = request.id;
    m_world.post(vm->vm.peerAddress, {}, [this, vm, request, failureDomain, id] {
        const auto policy = *m_configuration.current()->find(request.service);
        vm->process->system.dispatcher().dispatch(request, policy, [this, failureDomain, id](const Core::Reply& reply) {
            auto& sent = m_sent[id];
            ++sent.replies;
            auto& requestCounts = m_requestCounts[failureDomain];
            if (const auto* answer = std::get_if<Core::Answer>(&reply)) {
                sent.hadWrongAnswer = answer->id != id;
                ++requestCounts.answered;
            } else if (std::get<Core::Refusal>(reply).outcome == Core::RunOutcome::NotRun) {
                sent.wasNotRun = true;
                ++requestCounts.notRun;
            } else {
                ++requestCounts.unknown;
            }
        });
    });
}

auto SteeringFleet::pickVm(const std::string& failureDomain, const Core::ServiceId& service) -> EntryVm*
{
    auto vms = runningVms(failureDomain);
    if (!m_usesLookupAnswers)
        return vms.empty() ? nullptr : vms[m_world.below(vms.size())];
    if (vms.empty()) {
        for (const auto& vm : m_vms) {
            if (vm->process != nullptr)
                vms.push_back(vm.get());
        }
    }
    if (vms.empty())
        return nullptr;
    const auto answer = vms[m_world.below(vms.size())]->process->system.lookups().lookup({ service, std::nullopt });
    if (!answer)
        return nullptr;
    auto* chosen = findVm(answer->targets[m_world.below(answer->targets.size())].vm);
    return chosen->process == nullptr ? nullptr : chosen;
}

auto SteeringFleet::runningVms(const std::string& failureDomain) -> std::vector<EntryVm*>
{
    std::vector<EntryVm*> running;
    for (const auto& vm : m_vms) {
        if (vm->process != nullptr && vm->vm.failureDomain.value() == failureDomain)
            running.push_back(vm.get());
    }
    return running;
}

auto SteeringFleet::findVm(const Core::EntryVmId& id) -> EntryVm*
{
    const auto found = std::find_if(m_vms.begin(), m_vms.end(), [&id](const auto& vm) { return vm->vm.id == id; });
    return found->get();
}

auto SteeringFleet::updateMembership() -> void
{
    for (const auto& reader : m_vms) {
        if (reader->process == nullptr)
            continue;
        auto& list = reader->process->members.list;
        list.clear();
        for (const auto& subject : m_vms) {
            Membership::Member member;
            member.vm = subject->vm;
            if (isReachable(*reader, *subject))
                member.loads = subject->process->upstreams.serviceLoads();
            else
                member.health = Membership::MemberHealth::Suspected;
            list.push_back(std::move(member));
        }
    }
}

auto SteeringFleet::isReachable(const EntryVm& from, const EntryVm& to) const -> bool
{
    return to.process != nullptr
        && !m_cuts.contains(std::minmax(from.vm.failureDomain.value(), to.vm.failureDomain.value()));
}

auto SteeringFleet::requestCounts(const std::string& failureDomain) const -> RequestCounts
{
    const auto found = m_requestCounts.find(failureDomain);
    return found == m_requestCounts.end() ? RequestCounts() : found->second;
}

auto SteeringFleet::creditCounts(const std::string& failureDomain) const -> CreditCounts
{
    const auto found = m_creditCountsByDomain.find(failureDomain);
    return found == m_creditCountsByDomain.end() ? CreditCounts() : found->second;
}

auto SteeringFleet::countRelay(const Fleet::EntryVm& from, const Fleet::EntryVm& to, std::size_t bytes) -> void
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(m_world.now().time_since_epoch()).count();
    if (from.region != to.region)
        m_crossRegionBytes[{ from.region.value(), to.region.value() }][second] += bytes;
}

auto SteeringFleet::crossRegionBytes(const std::string& from, const std::string& to) const
    -> std::map<std::int64_t, std::uint64_t>
{
    const auto found = m_crossRegionBytes.find({ from, to });
    return found == m_crossRegionBytes.end() ? std::map<std::int64_t, std::uint64_t>() : found->second;
}

auto SteeringFleet::violations() const -> std::string
{
    for (const auto& [id, sent] : m_sent) {
        const auto found = m_runs.find(id);
        const auto runs = found == m_runs.end() ? 0 : found->second;
        if (sent.replies > 1)
            return id.value() + " received two replies";
        if (sent.hadWrongAnswer)
            return id.value() + " received the answer of another request";
        if (sent.wasNotRun && runs > 0)
            return id.value() + " was refused as not run but ran";
        if (!sent.isIdempotent && runs > 1)
            return id.value() + " is not idempotent but ran more than once";
    }
    for (const auto& [failureDomain, counts] : m_creditCountsByDomain) {
        if (counts.answeredOnCredit > counts.granted)
            return failureDomain + " ran more relayed requests than it granted credits";
    }
    return {};
}

} // namespace Fakes
