#include "randomisedquotarun.h"

namespace {

constexpr Core::Millis stepTime { 5 };
/// Time in which a lower quota must be in force on all VMs, after they know it.
constexpr auto window = Fakes::QuotaFleet::bounds.window;
constexpr std::size_t fewestVms = 4;
constexpr std::size_t mostVms = 40;

} // namespace

RandomisedQuotaRun::RandomisedQuotaRun(std::uint64_t seed)
    : m_fleet(seed, fewestVms + seed * 7 % (mostVms - fewestVms))
{
    auto& world = m_fleet.world;
    for (std::size_t index = 0; index < 1 + world.below(4); ++index) {
        m_demands.push_back({ "org-" + std::to_string(index), 0, world.chance(0.3) ? 1 + world.below(2) : 0, {} });
        setQuota(m_demands.back());
    }
    m_fleet.startAll();
    m_joined = m_fleet.size();
    for (; m_joined > m_fleet.size() * 2 / 3 && world.chance(0.8); --m_joined)
        m_fleet.forget(m_joined - 1);
}

auto RandomisedQuotaRun::setQuota(Demand& demand) -> void
{
    auto& world = m_fleet.world;
    static constexpr std::array rates { 1.0, 4.0, 20.0, 100.0, 300.0 };
    Organisations::Quota quota;
    quota.rate = rates.at(world.below(rates.size()));
    quota.burst = quota.rate * static_cast<double>(world.below(4)) / 2;
    demand.quotas.emplace_back(world.now(), quota);
    demand.perSecond = quota.rate * static_cast<double>(1 + world.below(6));
    m_fleet.setQuota(demand.organisation, quota);
}

auto RandomisedQuotaRun::changeQuota() -> void
{
    setQuota(m_demands.at(m_fleet.world.below(m_demands.size())));
    m_fleet.applyQuotas();
}

auto RandomisedQuotaRun::run(Core::Duration duration) -> void
{
    const auto end = m_fleet.world.now() + duration;
    while (m_fleet.world.now() < end)
        step();
}

auto RandomisedQuotaRun::step() -> void
{
    for (const auto& demand : m_demands)
        send(demand);
    if (m_fleet.world.chance(0.004))
        disturb();
    m_fleet.world.runFor(stepTime);
}

auto RandomisedQuotaRun::send(const Demand& demand) -> void
{
    auto& world = m_fleet.world;
    for (auto left = demand.perSecond * std::chrono::duration<double>(stepTime).count(); left > 0; left -= 1) {
        if (!world.chance(std::min(1.0, left)))
            continue;
        const auto vm = demand.vms == 0 ? randomVm() : world.below(demand.vms);
        if (m_fleet.isRunning(vm))
            m_fleet.request(vm, demand.organisation, !world.chance(0.1));
    }
}

auto RandomisedQuotaRun::disturb() -> void
{
    auto& world = m_fleet.world;
    switch (world.below(9)) {
    case 0:
        m_fleet.cutFirst(1 + randomVm());
        break;
    case 1:
        m_fleet.isolate(randomVm());
        break;
    case 2:
        world.heal();
        break;
    case 3:
        crashOrStart(randomVm());
        break;
    case 4:
        m_fleet.pause(randomVm());
        break;
    case 5:
        for (std::size_t vm = 0; vm < m_fleet.size(); ++vm)
            m_fleet.resume(vm);
        break;
    case 6:
        restartAll();
        break;
    case 7:
        changeQuota();
        break;
    default:
        world.setFaults(world.chance(0.5) ? Fakes::NetworkFaults { 0, 0, Core::Millis(1), Core::Millis(20) }
                                          : Fakes::NetworkFaults { 0.2, 0.1, Core::Millis(1), Core::Millis(400) });
    }
}

auto RandomisedQuotaRun::crashOrStart(std::size_t vm) -> void
{
    if (vm >= m_joined)
        m_joined = vm + 1;
    m_fleet.resume(vm);
    if (m_fleet.isRunning(vm))
        m_fleet.crash(vm);
    else
        m_fleet.start(vm);
}

auto RandomisedQuotaRun::restartAll() -> void
{
    for (std::size_t vm = 0; vm < m_joined; ++vm) {
        m_fleet.resume(vm);
        if (m_fleet.isRunning(vm))
            m_fleet.crash(vm);
    }
    for (std::size_t vm = 0; vm < m_joined; ++vm)
        m_fleet.start(vm);
}

auto RandomisedQuotaRun::excess() const -> double
{
    double most = -1e9;
    for (const auto& demand : m_demands)
        most = std::max(most, excessOf(demand));
    return most;
}

auto RandomisedQuotaRun::excessOf(const Demand& demand) const -> double
{
    const auto& bounds = Fakes::QuotaFleet::bounds;
    const auto& runs = m_fleet.tally(demand.organisation).runs;
    double most = -1e9;
    std::size_t first = 0;
    for (std::size_t last = 0; last < runs.size(); ++last) {
        while (runs[last] - runs[first] > window)
            ++first;
        // The largest quota that held at any time of the window.
        double allowed = 0;
        for (std::size_t index = 0; index < demand.quotas.size(); ++index) {
            const auto& [from, quota] = demand.quotas[index];
            const bool isOver = index + 1 < demand.quotas.size() && demand.quotas[index + 1].first < runs[first];
            if (isOver || from > runs[last])
                continue;
            const auto perWindow = quota.rate * std::chrono::duration<double>(window).count();
            allowed = std::max(allowed, (perWindow + quota.burst) * (1 + bounds.overshoot) + bounds.slack);
        }
        most = std::max(most, static_cast<double>(last - first + 1) - allowed);
    }
    return most;
}

auto RandomisedQuotaRun::runCount() const -> std::size_t
{
    std::size_t sum = 0;
    for (const auto& demand : m_demands)
        sum += m_fleet.tally(demand.organisation).runs.size();
    return sum;
}
