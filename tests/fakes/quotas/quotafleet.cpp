#include "fakes/quotas/quotafleet.h"

#include "quotapeer/quotapeer.h"

#include <array>

namespace Fakes {

namespace {

    /// Time that the VMs take to learn a change of the list.
    constexpr Core::Millis longestListDelay { 700 };

    class NoEvents : public Ports::EventSink {
    public:
        auto record(Ports::Event) -> void override { }
    };

} // namespace

struct QuotaFleet::Process {
    Process(QuotaFleet& fleet, std::size_t vm, std::int64_t start)
        : node(fleet.world, nodeOf(vm))
        , port(node)
        , quotas(memberOf(vm), Core::ProcessStartId(start), bounds, { fleet.world, node, events, port })
    {
        QuotaPeer::registerPermitHandler(
            node, [this](const Quotas::PermitMessage& message) { return quotas.receive(message); });
    }

    VirtualNode node;
    NoEvents events;
    QuotaPeer::QuotaPeer port;
    Quotas::FleetQuotas quotas;
};

QuotaFleet::QuotaFleet(std::uint64_t seed, std::size_t vmCount)
    : world(seed)
    , m_processes(vmCount)
{
    world.setFaults({ 0, 0, Core::Millis(1), Core::Millis(20) });
}

QuotaFleet::~QuotaFleet() = default;

auto QuotaFleet::memberOf(std::size_t vm) -> Quotas::TreeMember
{
    static constexpr std::array domains { "atl-a", "atl-b", "sav-a", "sav-b", "mac-a", "mac-b" };
    const std::string domain = domains.at(vm % domains.size());
    return { Core::EntryVmId(nodeOf(vm).value()), Core::FailureDomainId(domain), Core::RegionId(domain.substr(0, 3)),
        nodeOf(vm) };
}

auto QuotaFleet::setQuota(const std::string& organisation, const Organisations::Quota& quota) -> void
{
    m_quotas[organisation] = quota;
    Organisations::Organisation made;
    made.id = Core::OrganisationId(organisation);
    made.quota = quota;
    m_tallies.try_emplace(organisation);
    m_organisations[organisation] = std::make_shared<const Organisations::Organisation>(made);
}

auto QuotaFleet::applyQuotas() -> void
{
    Organisations::OrganisationDirectory directory;
    for (const auto& [name, organisation] : m_organisations)
        (void)directory.add(*organisation, {});
    for (const auto& process : m_processes) {
        if (process)
            process->quotas.setOrganisations(directory);
    }
}

auto QuotaFleet::listMembers() -> void
{
    std::vector<Quotas::TreeMember> members;
    for (const auto vm : m_listed)
        members.push_back(memberOf(vm));
    for (std::size_t vm = 0; vm < m_processes.size(); ++vm) {
        if (!m_processes[vm])
            continue;
        world.post(nodeOf(vm), world.between(Core::Millis(1), longestListDelay), [this, vm, members] {
            if (m_processes[vm])
                m_processes[vm]->quotas.setMembers(members);
        });
    }
}

auto QuotaFleet::start(std::size_t vm) -> void
{
    m_processes.at(vm) = std::make_unique<Process>(*this, vm, m_nextStart++);
    m_listed.insert(vm);
    listMembers();
    Organisations::OrganisationDirectory directory;
    for (const auto& [name, organisation] : m_organisations)
        (void)directory.add(*organisation, {});
    m_processes.at(vm)->quotas.setOrganisations(directory);
}

auto QuotaFleet::startAll() -> void
{
    for (std::size_t vm = 0; vm < m_processes.size(); ++vm)
        m_listed.insert(vm);
    for (std::size_t vm = 0; vm < m_processes.size(); ++vm)
        m_processes[vm] = std::make_unique<Process>(*this, vm, m_nextStart++);
    listMembers();
    applyQuotas();
}

auto QuotaFleet::forget(std::size_t vm) -> void
{
    crash(vm);
    m_listed.erase(vm);
    listMembers();
}

auto QuotaFleet::crash(std::size_t vm) -> void
{
    world.crash(nodeOf(vm));
    m_processes.at(vm).reset();
}

auto QuotaFleet::cutFirst(std::size_t vms) -> void
{
    for (std::size_t one = 0; one < vms; ++one) {
        for (auto other = vms; other < size(); ++other)
            world.cut(nodeOf(one), nodeOf(other));
    }
}

auto QuotaFleet::isolate(std::size_t vm) -> void
{
    for (std::size_t other = 0; other < size(); ++other) {
        if (other != vm)
            world.cut(nodeOf(vm), nodeOf(other));
    }
}

auto QuotaFleet::isRunning(std::size_t vm) const -> bool { return m_processes.at(vm) && !world.isPaused(nodeOf(vm)); }

auto QuotaFleet::request(std::size_t vm, const std::string& organisation, bool isSent) -> void
{
    auto& quotas = m_processes.at(vm)->quotas;
    ++m_tallies[organisation].requests;
    const auto now = world.now();
    quotas.acquire(m_organisations.at(organisation), now + std::chrono::seconds(3),
        [this, organisation, isSent, now, &quotas](const Quotas::QuotaResult& result) {
            auto& tally = m_tallies[organisation];
            tally.waited += world.now() - now;
            if (!result)
                ++tally.refused;
            else if (isSent)
                tally.runs.push_back(world.now());
            else
                quotas.giveBack(*result);
        });
}

auto QuotaFleet::deliver(std::size_t vm, const Quotas::PermitMessage& message) -> Quotas::PermitReply
{
    return m_processes.at(vm)->quotas.receive(message);
}

auto QuotaFleet::sentMessages(std::size_t vm) const -> std::uint64_t
{
    return m_processes.at(vm) ? m_processes.at(vm)->quotas.sentMessages() : 0;
}

auto QuotaFleet::stock(const std::string& organisation) const -> double
{
    double sum = 0;
    for (const auto& process : m_processes) {
        if (!process)
            continue;
        for (const auto& state : process->quotas.states(m_quotas.size())) {
            if (state.organisation.value() == organisation)
                sum += state.stock.value();
        }
    }
    return sum;
}

} // namespace Fakes
