#include "scenario.h"

#include "baselinedispatcher.h"
#include "configuration/configurationholder.h"
#include "dispatch/rankeddispatcher.h"
#include "fleet/wholedomainownership.h"
#include "support/simulatedupstreams.h"
#include "workload.h"

#include <algorithm>

namespace PolicyBench {

namespace {

    using namespace std::chrono_literals;

    const Core::FailureDomainId failureDomain("fd-1");
    constexpr Core::Millis fleetListDelay { 5000 };
    constexpr Core::Millis leavingGracePeriod { 2000 };

    /// Simulates one failure domain and its upstreams for one run of a scenario.
    class ScenarioRun {
    public:
        ScenarioRun(const Preset& preset, const Scenario& scenario, const std::string& policy, std::uint64_t seed)
            : m_preset(preset)
            , m_scenario(scenario)
            , m_upstreams(m_time, seed, preset.oneWayLatencyInRegion)
            , m_dispatcher(makeDispatcher(policy, seed))
            , m_workload(preset, scenario, m_time, *m_dispatcher, m_outcomes, seed)
        {
            m_configuration.offer({ .version = Core::Version(1) });
            m_upstreams.setCrashOn("crash-request");
            publishFleetList(false);
            if (m_rankedDispatcher != nullptr)
                m_rankedDispatcher->start();
        }

        auto execute() -> RunResult
        {
            const auto start = m_time.now();
            m_workload.start();
            m_time.schedule(Workload::windowStart, [this] { injectFaults(); });
            m_time.runUntil(start + Workload::windowStart + leavingGracePeriod);
            const auto graceArrivals = arrivalsAtLeavingUpstreams();
            m_time.runUntil(start + Workload::runEnd);
            m_workload.finish();
            RunResult result;
            result.outcomes = m_outcomes;
            result.lateArrivalsAtLeaving = arrivalsAtLeavingUpstreams() - graceArrivals;
            summarise(result);
            return result;
        }

    private:
        auto makeDispatcher(const std::string& policy, std::uint64_t seed) -> std::unique_ptr<Dispatch::Dispatcher>
        {
            if (policy == "random-fifo")
                return std::make_unique<RandomDispatcher>(
                    BaselineDispatcher::Dependencies { m_time, m_upstreams, m_fleet }, seed);
            if (policy == "least-outstanding")
                return std::make_unique<LeastOutstandingDispatcher>(
                    BaselineDispatcher::Dependencies { m_time, m_upstreams, m_fleet });
            auto ranked = std::make_unique<Dispatch::RankedDispatcher>(
                Dispatch::RankedDispatcher::Dependencies {
                    m_time, m_time, m_upstreams, m_fleet, m_configuration, m_ownership },
                failureDomain);
            m_rankedDispatcher = ranked.get();
            return ranked;
        }

        auto publishFleetList(bool isThirdLeaving) -> void
        {
            Fleet::FleetList list { Core::Version(m_fleet.current()->version.value() + 1), {}, {} };
            for (const auto& service : m_preset.services) {
                m_upstreams.setServiceTime(service.policy.service, service.serviceTime);
                for (std::size_t index = 0; index < service.endpointSlots.size(); ++index) {
                    const auto name = service.policy.service.value() + "-" + std::to_string(index);
                    const auto slots = service.endpointSlots[index];
                    m_upstreams.behaviour(Core::UpstreamId(name)).slots = slots;
                    const bool isLeaving = isThirdLeaving && isInLeavingThird(index);
                    list.upstreams.push_back({ Core::UpstreamId(name), service.policy.pool, failureDomain,
                        Core::RegionId("r"), Core::Address(name), Core::SlotCount(slots), Core::ConnectionCount(360),
                        isLeaving ? Fleet::MemberState::Leaving : Fleet::MemberState::Live });
                }
            }
            m_fleet.offer(std::move(list));
        }

        /// Selects the first endpoint of each service, which is a third of three endpoints and half of two.
        [[nodiscard]] static auto isInLeavingThird(std::size_t index) -> bool { return index == 0; }

        auto injectFaults() -> void
        {
            std::size_t index = 0;
            for (const auto fleet = m_fleet.current(); const auto& upstream : fleet->upstreams) {
                auto& behaviour = m_upstreams.behaviour(upstream.id);
                behaviour.answersQueries = !m_scenario.stopsReports;
                if (m_scenario.falsifiesReports)
                    behaviour.falseReport = Ports::LoadReport { upstream.slots,
                        Core::SlotCount(index % 2 == 0 ? upstream.slots.value() * 10 : 0), index % 3 == 0 };
                ++index;
            }
            if (!m_scenario.drainsThird)
                return;
            for (const auto& id : leavingUpstreams())
                m_upstreams.behaviour(id).isDraining = true;
            m_time.schedule(fleetListDelay, [this] { publishFleetList(true); });
        }

        [[nodiscard]] auto leavingUpstreams() const -> std::vector<Core::UpstreamId>
        {
            std::vector<Core::UpstreamId> ids;
            for (const auto& service : m_preset.services)
                ids.emplace_back(service.policy.service.value() + "-0");
            return ids;
        }

        [[nodiscard]] auto arrivalsAtLeavingUpstreams() const -> std::uint64_t
        {
            std::uint64_t arrivals = 0;
            if (m_scenario.drainsThird) {
                for (const auto& id : leavingUpstreams())
                    arrivals += m_upstreams.records()[id].arrivals;
            }
            return arrivals;
        }

        auto summarise(RunResult& result) -> void
        {
            const auto offeredTime = static_cast<double>((Workload::windowEnd - Workload::windowStart).count());
            result.usefulShare
                = static_cast<double>(m_outcomes.usefulTime().count()) / (offeredTime * m_preset.slots());
            auto records = m_upstreams.records();
            for (const auto fleet = m_fleet.current(); const auto& upstream : fleet->upstreams) {
                const auto& record = records[upstream.id];
                result.highestOverSlots = std::max<std::int64_t>(result.highestOverSlots,
                    static_cast<std::int64_t>(record.highestInFlight) - upstream.slots.value());
                result.crashedUpstreams += record.crashes > 0 ? 1 : 0;
            }
        }

        const Preset& m_preset;
        const Scenario& m_scenario;
        TestSupport::VirtualTime m_time;
        TestSupport::SimulatedUpstreams m_upstreams;
        Fleet::FleetHolder m_fleet;
        Configuration::ConfigurationHolder m_configuration;
        Fleet::WholeDomainOwnership m_ownership { failureDomain };
        Dispatch::RankedDispatcher* m_rankedDispatcher = nullptr;
        std::unique_ptr<Dispatch::Dispatcher> m_dispatcher;
        OutcomeRecorder m_outcomes;
        Workload m_workload;
    };

} // namespace

auto allScenarios() -> std::vector<Scenario>
{
    constexpr double unloaded = 0.1;
    constexpr double drainLoad = 0.6;
    constexpr std::size_t urgent = 0;
    constexpr std::size_t deferrable = 2;
    return {
        { .name = "unloaded", .loadFactor = unloaded },
        { .name = "steady" },
        { .name = "deferrable-flood", .floodService = deferrable, .floodFactor = 10 },
        { .name = "urgent-flood", .floodService = urgent, .floodFactor = 5 },
        { .name = "one-caller-flood", .floodService = urgent, .floodFactor = 5, .hasSingleCaller = true },
        { .name = "drain-third", .loadFactor = drainLoad, .drainsThird = true },
        { .name = "reports-stopped", .stopsReports = true },
        { .name = "reports-lie", .falsifiesReports = true },
        { .name = "crash-request", .sendsCrashRequest = true },
    };
}

auto policyNames() -> std::vector<std::string> { return { "ranked", "least-outstanding", "random-fifo" }; }

auto runScenario(const Preset& preset, const Scenario& scenario, const std::string& policy, std::uint64_t seed)
    -> RunResult
{
    auto result = ScenarioRun(preset, scenario, policy, seed).execute();
    result.preset = preset.name;
    result.scenario = scenario.name;
    result.policy = policy;
    result.seed = seed;
    return result;
}

} // namespace PolicyBench
