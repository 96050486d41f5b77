#include "simulatedsite.h"

#include <cmath>
#include <numbers>

namespace ForwardingTest {

namespace {

    constexpr Core::Millis target { 400 };
    constexpr Core::Millis timeout { 2000 };
    constexpr int objectsPerRegion = 28;
    constexpr std::array<const char*, 3> regionNames { "atl", "sav", "mac" };
    constexpr std::array<int, 3> upstreamsPerRegion { 6, 2, 6 };
    constexpr std::array<int, 3> entryVmsPerRegion { 4, 3, 3 };

    class SimulatedExchange : public Ports::Exchange {
    public:
        SimulatedExchange(SimulatedUpstream& upstream, SimulatedUpstream::JobPointer job)
            : m_upstream(upstream)
            , m_job(std::move(job))
        {
        }
        auto cancel() -> void override { m_upstream.drop(m_job); }

    private:
        SimulatedUpstream& m_upstream;
        SimulatedUpstream::JobPointer m_job;
    };

    /// Sends each request once, to a random upstream or the one with the fewest outstanding requests.
    class Baseline : public RequestSender {
    public:
        Baseline(TestSupport::VirtualTime& time, SimulatedExchanges& exchanges,
            std::vector<Ports::UpstreamTarget> targets, bool isRandom)
            : m_time(time)
            , m_exchanges(exchanges)
            , m_targets(std::move(targets))
            , m_outstanding(m_targets.size())
            , m_isRandom(isRandom)
        {
        }

        auto send(Forwarding::ForwardRequest request, Forwarding::ForwardCallback callback) -> void override
        {
            const auto index = m_isRandom ? m_random() % m_targets.size() : leastOutstanding();
            ++m_outstanding[index];
            auto isDone = std::make_shared<bool>(false);
            m_time.schedule(timeout, [isDone, callback] {
                if (!std::exchange(*isDone, true))
                    callback(Forwarding::ForwardRefusal {});
            });
            m_exchanges.start({ m_targets[index], request.id, request.message, timeout },
                [this, index, isDone, callback](const Ports::ExchangeResult& result) {
                    --m_outstanding[index];
                    if (std::exchange(*isDone, true))
                        return;
                    if (result.outcome == Ports::ExchangeOutcome::Answered)
                        callback(result.answer);
                    else
                        callback(Forwarding::ForwardRefusal {});
                });
        }

    private:
        auto leastOutstanding() -> std::size_t
        {
            const auto offset = m_random() % m_targets.size();
            std::size_t best = offset;
            for (std::size_t step = 0; step < m_targets.size(); ++step) {
                const auto index = (offset + step) % m_targets.size();
                if (m_outstanding[index] < m_outstanding[best])
                    best = index;
            }
            return best;
        }

        TestSupport::VirtualTime& m_time;
        SimulatedExchanges& m_exchanges;
        std::vector<Ports::UpstreamTarget> m_targets;
        std::vector<int> m_outstanding;
        bool m_isRandom;
        std::mt19937_64 m_random { 3 };
    };

    /// Route for less urgent requests to the same service.
    auto reportRoute() -> Forwarding::Route
    {
        auto route = stockRoute();
        route.id = Forwarding::RouteId("report");
        route.pathPrefix = "/report/";
        route.priority = 2;
        return route;
    }

    /// Entry VM that uses the forwarder under test.
    class ProductVm : public RequestSender, public Forwarding::EntryVmView {
    public:
        ProductVm(TestSupport::VirtualTime& time, SimulatedExchanges& exchanges, const Forwarding::Location& location,
            int regional)
            : m_regional(static_cast<std::size_t>(regional))
            , m_forwarder({ time, time, m_random, exchanges, m_events, m_metrics, { location, *this, {} } })
        {
            m_forwarder.setConfiguration(configurationWith({ stockRoute(), reportRoute() }));
            m_forwarder.setRetryAllowance({ 0.1, 4 });
        }

        auto send(Forwarding::ForwardRequest request, Forwarding::ForwardCallback callback) -> void override
        {
            m_forwarder.handle(std::move(request), std::move(callback));
        }

        auto forwarder() -> Forwarding::Forwarder& { return m_forwarder; }
        [[nodiscard]] auto isOwner(const Forwarding::UpstreamEntry&) const -> bool override { return true; }
        [[nodiscard]] auto regionalCount() const -> std::size_t override { return m_regional; }

    private:
        std::size_t m_regional;
        SeededRandom m_random;
        EventRecorder m_events;
        NullMetrics m_metrics;
        Forwarding::Forwarder m_forwarder;
    };

    class Site {
    public:
        Site(const LoadPattern& pattern, Policy policy)
            : m_pattern(pattern)
        {
            for (std::size_t region = 0; region < regionNames.size(); ++region)
                addUpstreams(region);
            for (std::size_t region = 0; region < regionNames.size(); ++region)
                addEntryVms(region, policy);
        }

        auto run() -> Outcomes
        {
            m_time.schedule(m_pattern.length / 2, [this] { injectFaults(); });
            for (std::size_t region = 0; region < regionNames.size(); ++region)
                scheduleNext(region);
            m_time.runFor(m_pattern.length + timeout);
            return m_outcomes;
        }

    private:
        auto addUpstreams(std::size_t region) -> void
        {
            for (int index = 0; index < upstreamsPerRegion.at(region); ++index) {
                const std::string name = regionNames.at(region);
                auto entry = upstream(name + std::to_string(index), name + (index % 2 == 0 ? "-a" : "-b"), name);
                UpstreamBehaviour behaviour;
                behaviour.reportsWorkTime = m_pattern.reportsWorkTime;
                m_exchanges.add(entry.target.id, behaviour);
                if (m_pattern.hasSharedMachines)
                    m_exchanges.at(entry.target.id).shareMachine();
                m_entries[entry.target.id] = entry;
                m_targets.push_back(entry.target);
            }
        }

        auto addEntryVms(std::size_t region, Policy policy) -> void
        {
            const std::string name = regionNames.at(region);
            for (int index = 0; index < entryVmsPerRegion.at(region); ++index) {
                if (policy != Policy::Product) {
                    m_vms[region].push_back(
                        std::make_unique<Baseline>(m_time, m_exchanges, m_targets, policy == Policy::RandomUpstream));
                    continue;
                }
                const Forwarding::Location location { Core::FailureDomainId(name + (index % 2 == 0 ? "-a" : "-b")),
                    Core::RegionId(name) };
                auto vm = std::make_unique<ProductVm>(m_time, m_exchanges, location, entryVmsPerRegion.at(region));
                vm->forwarder().setUpstreams(m_entries, {});
                m_products.push_back(vm.get());
                m_vms[region].push_back(std::move(vm));
            }
        }

        [[nodiscard]] auto rate(std::size_t region) const -> double
        {
            const auto at = m_time.now() - m_start;
            const double phase = static_cast<double>(at.count()) / 36e6 + static_cast<double>(region) / 3;
            double rate = m_pattern.perSecond / 3 * (1 + m_pattern.swing * std::sin(2 * std::numbers::pi * phase));
            if (at >= m_pattern.burstFrom && at < m_pattern.burstUntil)
                rate *= m_pattern.burstFactor;
            return rate;
        }

        auto scheduleNext(std::size_t region) -> void
        {
            const auto gap = std::exponential_distribution<double>(rate(region))(m_arrivals);
            m_time.schedule(Core::Duration(static_cast<Core::Duration::rep>(gap * 1e6)), [this, region] {
                if (m_time.now() - m_start >= m_pattern.length)
                    return;
                sendRequest(region);
                scheduleNext(region);
            });
        }

        auto sendRequest(std::size_t region) -> void
        {
            Forwarding::ForwardRequest request;
            request.id = Core::RequestId("r" + std::to_string(m_nextId++));
            request.host = "desk.example";
            request.path = "/stock/7";
            request.object = Forwarding::ObjectKey(
                std::string(regionNames.at(region)) + std::to_string(m_arrivals() % objectsPerRegion));
            request.callerTimeout = Core::Millis(3000);
            request.message = std::make_shared<TextMessage>(request.object.value());
            const bool isLessUrgent = std::bernoulli_distribution(m_pattern.lessUrgentShare)(m_arrivals);
            if (isLessUrgent)
                request.path = "/report/7";
            ++m_outcomes.sent;
            m_outcomes.lessUrgentSent += isLessUrgent ? 1 : 0;
            auto& vms = m_vms[region];
            const auto sentAt = m_time.now();
            vms[m_arrivals() % vms.size()]->send(
                std::move(request), [this, sentAt, isLessUrgent](const Forwarding::ForwardReply& reply) {
                    const bool isRefused = std::holds_alternative<Forwarding::ForwardRefusal>(reply);
                    m_outcomes.lessUrgentServed += isLessUrgent && !isRefused ? 1 : 0;
                    if (isRefused)
                        ++m_outcomes.refused;
                    else if (m_time.now() - sentAt <= target)
                        ++m_outcomes.inTarget;
                    else
                        ++m_outcomes.late;
                });
        }

        /// Injects the faults of the pattern. Unresponsive upstreams are removed from the list some seconds later.
        auto injectFaults() -> void
        {
            for (int index = 0; index < m_pattern.slowUpstreams; ++index)
                m_exchanges.at(m_targets[static_cast<std::size_t>(index) * 3].id).setSlowness(5);
            for (int index = 0; index < m_pattern.unresponsiveUpstreams; ++index) {
                const auto id = m_targets[static_cast<std::size_t>(index) * 3].id;
                m_exchanges.at(id).stopResponding();
                m_entries.erase(id);
            }
            m_time.schedule(Core::Millis(4500), [this] {
                for (auto* vm : m_products)
                    vm->forwarder().setUpstreams(m_entries, {});
            });
        }

        const LoadPattern m_pattern;
        TestSupport::VirtualTime m_time;
        const Core::Instant m_start = m_time.now();
        SimulatedExchanges m_exchanges { m_time };
        Forwarding::UpstreamEntries m_entries;
        std::vector<Ports::UpstreamTarget> m_targets;
        std::array<std::vector<std::unique_ptr<RequestSender>>, 3> m_vms;
        std::vector<ProductVm*> m_products;
        std::mt19937_64 m_arrivals { 11 };
        std::uint64_t m_nextId = 0;
        Outcomes m_outcomes;
    };

} // namespace

SimulatedUpstream::SimulatedUpstream(TestSupport::VirtualTime& time, UpstreamBehaviour behaviour)
    : m_time(time)
    , m_behaviour(behaviour)
{
}

auto SimulatedUpstream::offer(const JobPointer& job) -> void
{
    if (m_isUnresponsive)
        return;
    if (m_running < static_cast<std::uint32_t>(m_behaviour.slots)) {
        start(job);
        return;
    }
    if (m_waiting.size() < m_behaviour.queue) {
        m_waiting.push_back(job);
        return;
    }
    job->hasEnded = true;
    Ports::ExchangeResult refused;
    refused.outcome = Ports::ExchangeOutcome::NotRun;
    refused.load = load();
    job->done(refused);
}

auto SimulatedUpstream::start(const JobPointer& job) -> void
{
    ++m_running;
    job->isRunning = true;
    m_time.schedule(serviceTime(job->object), [this, job] { finish(job); });
}

auto SimulatedUpstream::startNext() -> void
{
    --m_running;
    if (m_waiting.empty() || m_isUnresponsive)
        return;
    const auto next = std::move(m_waiting.front());
    m_waiting.pop_front();
    start(next);
}

auto SimulatedUpstream::drop(const JobPointer& job) -> void
{
    if (job->hasEnded)
        return;
    job->hasEnded = true;
    if (job->isRunning)
        startNext();
    else
        std::erase(m_waiting, job);
    Ports::ExchangeResult cancelled;
    cancelled.outcome = Ports::ExchangeOutcome::Cancelled;
    job->done(cancelled);
}

auto SimulatedUpstream::serviceTime(const std::string& object) -> Core::Duration
{
    const bool isCached = std::find(m_cache.begin(), m_cache.end(), object) != m_cache.end();
    const Core::Duration mean = isCached ? m_behaviour.warmServiceTime : m_behaviour.coldServiceTime;
    const double spread = std::normal_distribution<double>(1, 0.15)(m_random);
    return Core::Duration(static_cast<Core::Duration::rep>(
        static_cast<double>(mean.count()) * std::max(0.3, spread) * m_behaviour.slowness));
}

auto SimulatedUpstream::finish(const JobPointer& job) -> void
{
    if (m_isUnresponsive || job->hasEnded)
        return;
    job->hasEnded = true;
    cacheObject(job->object);
    Ports::ExchangeResult answered;
    answered.outcome = Ports::ExchangeOutcome::Answered;
    answered.answer = std::make_shared<TextMessage>("answer");
    answered.load = load();
    startNext();
    job->done(answered);
}

auto SimulatedUpstream::cacheObject(const std::string& object) -> void
{
    m_cache.remove(object);
    m_cache.push_front(object);
    if (m_cache.size() > m_behaviour.cacheSize)
        m_cache.pop_back();
}

auto SimulatedUpstream::shareMachine() -> void
{
    constexpr double slowness = 4;
    constexpr double burstMillis = 300;
    constexpr double pauseMillis = 1500;
    const bool isBurst = m_behaviour.slowness == 1;
    setSlowness(isBurst ? slowness : 1);
    std::exponential_distribution<double> length(1 / (isBurst ? burstMillis : pauseMillis));
    m_time.schedule(Core::Millis(1 + std::llround(length(m_random))), [this] { shareMachine(); });
}

auto SimulatedUpstream::load() const -> Ports::ReportedLoad
{
    constexpr double percent = 100;
    Ports::ReportedLoad load { m_running, static_cast<std::uint32_t>(m_waiting.size()),
        Core::SlotCount(static_cast<std::uint32_t>(m_behaviour.slots)) };
    if (m_behaviour.reportsWorkTime)
        load.workTime = Core::Percent(static_cast<std::uint32_t>(m_behaviour.slowness * percent));
    return load;
}

auto SimulatedExchanges::add(const Core::UpstreamId& id, UpstreamBehaviour behaviour) -> void
{
    m_upstreams[id] = std::make_unique<SimulatedUpstream>(m_time, behaviour);
}

auto SimulatedExchanges::start(Ports::ExchangeCall call, ResultCallback callback) -> std::shared_ptr<Ports::Exchange>
{
    const auto& object = static_cast<const TextMessage&>(*call.request).text;
    auto& upstream = *m_upstreams.at(call.target.id);
    auto job = std::make_shared<SimulatedUpstream::Job>(SimulatedUpstream::Job { object, std::move(callback) });
    upstream.offer(job);
    return std::make_shared<SimulatedExchange>(upstream, std::move(job));
}

auto SimulatedExchanges::probeHealth(const Ports::UpstreamTarget& target, const std::string&, HealthCallback callback)
    -> void
{
    callback(Ports::HealthReport { target.id, true, {}, std::nullopt });
}

auto simulate(const LoadPattern& pattern, Policy policy) -> Outcomes { return Site(pattern, policy).run(); }

} // namespace ForwardingTest
