#include "fakes/quotas/quotafleet.h"
#include "support/testarguments.h"

#include <array>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <iostream>

namespace {

namespace bdata = boost::unit_test::data;

constexpr Core::Millis stepTime { 5 };
constexpr std::size_t fewestVms = 4;
constexpr std::size_t mostVms = 40;

/// Sends far more requests than the quotas allow to VMs that are killed, paused, cut off, restarted together and joined
/// by others, while messages are lost, copied and late and quotas change, in virtual time.
class RandomRun {
public:
    explicit RandomRun(std::uint64_t seed);

    auto run(Core::Duration duration) -> void;
    /// Returns the largest number of requests beyond the bound that ran in any window; not positive if the bound held.
    [[nodiscard]] auto excess() const -> double;
    std::size_t runs = 0;

private:
    struct Demand {
        std::string organisation;
        double perSecond = 0;
        /// VMs to which the callers are connected; 0 stands for all.
        std::size_t vms = 0;
        /// Quotas and the times from which they hold.
        std::vector<std::pair<Core::Instant, Organisations::Quota>> quotas;
    };

    auto send(const Demand& demand) -> void;
    auto disturb() -> void;
    auto setQuota(Demand& demand) -> void;
    auto stop(std::size_t vm) -> void;
    auto start(std::size_t vm) -> void;
    [[nodiscard]] auto randomVm() -> std::size_t { return m_world.below(m_fleet.size()); }
    [[nodiscard]] static auto allowed(const Demand& demand, Core::Instant first, Core::Instant last) -> double;

    Fakes::QuotaFleet m_fleet;
    Fakes::VirtualWorld& m_world = m_fleet.world;
    /// VMs that have not joined yet.
    std::set<std::size_t> m_unknown;
    std::vector<Demand> m_demands;
};

RandomRun::RandomRun(std::uint64_t seed)
    : m_fleet(seed, fewestVms + seed * 7 % (mostVms - fewestVms))
{
    for (std::size_t index = 0; index < 1 + m_world.below(4); ++index) {
        m_demands.push_back({ "org-" + std::to_string(index), 0, m_world.chance(0.3) ? 1 + m_world.below(2) : 0, {} });
        setQuota(m_demands.back());
    }
    m_fleet.startAll();
    for (auto vm = m_fleet.size() - 1; vm > m_fleet.size() * 2 / 3 && m_world.chance(0.8); --vm) {
        m_fleet.forget(vm);
        m_unknown.insert(vm);
    }
}

auto RandomRun::setQuota(Demand& demand) -> void
{
    static constexpr std::array rates { 1.0, 4.0, 20.0, 100.0, 300.0 };
    Organisations::Quota quota;
    quota.rate = rates.at(m_world.below(rates.size()));
    quota.burst = quota.rate * static_cast<double>(m_world.below(4)) / 2;
    demand.quotas.emplace_back(m_world.now(), quota);
    demand.perSecond = quota.rate * static_cast<double>(1 + m_world.below(6));
    m_fleet.setQuota(demand.organisation, quota);
}

auto RandomRun::run(Core::Duration duration) -> void
{
    for (const auto end = m_world.now() + duration; m_world.now() < end; m_world.runFor(stepTime)) {
        for (const auto& demand : m_demands)
            send(demand);
        if (m_world.chance(0.004))
            disturb();
    }
    for (const auto& demand : m_demands)
        runs += m_fleet.tally(demand.organisation).runs.size();
}

auto RandomRun::send(const Demand& demand) -> void
{
    for (auto left = demand.perSecond * std::chrono::duration<double>(stepTime).count(); left > 0; left -= 1) {
        const auto vm = demand.vms == 0 ? randomVm() : m_world.below(demand.vms);
        if (m_world.chance(std::min(1.0, left)) && m_fleet.isRunning(vm))
            m_fleet.request(vm, demand.organisation, !m_world.chance(0.1));
    }
}

auto RandomRun::stop(std::size_t vm) -> void
{
    m_fleet.resume(vm);
    if (m_fleet.isRunning(vm))
        m_fleet.crash(vm);
}

auto RandomRun::start(std::size_t vm) -> void
{
    m_unknown.erase(vm);
    m_fleet.start(vm);
}

auto RandomRun::disturb() -> void
{
    const auto vm = randomVm();
    switch (m_world.below(9)) {
    case 0:
        m_fleet.cutFirst(1 + vm);
        break;
    case 1:
        m_fleet.isolate(vm);
        break;
    case 2:
        m_world.heal();
        break;
    case 3:
        m_fleet.resume(vm);
        if (m_fleet.isRunning(vm))
            stop(vm);
        else
            start(vm);
        break;
    case 4:
        m_fleet.pause(vm);
        break;
    case 5:
        for (std::size_t one = 0; one < m_fleet.size(); ++one)
            m_fleet.resume(one);
        break;
    case 6:
        for (std::size_t one = 0; one < m_fleet.size(); ++one)
            stop(one);
        for (std::size_t one = 0; one < m_fleet.size(); ++one) {
            if (!m_unknown.contains(one))
                start(one);
        }
        break;
    case 7:
        setQuota(m_demands.at(m_world.below(m_demands.size())));
        m_fleet.applyQuotas();
        break;
    default:
        m_world.setFaults(m_world.chance(0.5) ? Fakes::NetworkFaults { 0, 0, Core::Millis(1), Core::Millis(20) }
                                              : Fakes::NetworkFaults { 0.2, 0.1, Core::Millis(1), Core::Millis(400) });
    }
}

/// Returns what the largest quota allows that held at any time of the window between the two instants.
auto RandomRun::allowed(const Demand& demand, Core::Instant first, Core::Instant last) -> double
{
    const auto& bounds = Fakes::QuotaFleet::bounds;
    double most = 0;
    for (auto quota = demand.quotas.begin(); quota != demand.quotas.end() && quota->first <= last; ++quota) {
        if (std::next(quota) != demand.quotas.end() && std::next(quota)->first < first)
            continue;
        const auto perWindow = quota->second.rate * std::chrono::duration<double>(bounds.window).count();
        most = std::max(most, (perWindow + quota->second.burst) * (1 + bounds.overshoot) + bounds.slack);
    }
    return most;
}

auto RandomRun::excess() const -> double
{
    double most = -1e9;
    for (const auto& demand : m_demands) {
        const auto& times = m_fleet.tally(demand.organisation).runs;
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > Fakes::QuotaFleet::bounds.window)
                ++first;
            const auto count = static_cast<double>(last - first + 1);
            most = std::max(most, count - allowed(demand, times[first], times[last]));
        }
    }
    return most;
}

auto runWithSeed(std::uint64_t seed) -> bool
{
    RandomRun randomRun(seed);
    randomRun.run(std::chrono::seconds(40));
    const auto excess = randomRun.excess();
    std::cout << "seed " << seed << ": " << randomRun.runs << " requests ran, excess " << excess << '\n';
    return excess <= 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuotasUnderRandomFaults)

BOOST_DATA_TEST_CASE(AreKeptInEveryWindow, bdata::xrange(1, 13), seed)
{
    BOOST_TEST(runWithSeed(static_cast<std::uint64_t>(seed)));
}

/// Runs consecutive seeds for the given time: tst_quotas --run_test=*/Soak -- SECONDS=600 SEED=1
BOOST_AUTO_TEST_CASE(Soak, *boost::unit_test::disabled()) { TestSupport::soak(runWithSeed); }

BOOST_AUTO_TEST_SUITE_END()
