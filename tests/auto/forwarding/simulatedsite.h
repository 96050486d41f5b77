#pragma once

#include "fakes.h"

#include <deque>
#include <list>
#include <memory>

namespace ForwardingTest {

/// Parameters of a simulated upstream.
struct UpstreamBehaviour {
    int slots = 4;
    std::size_t queue = 12;
    Core::Millis coldServiceTime { 640 };
    Core::Millis warmServiceTime { 192 };
    /// Number of objects in the cache; the least recently used one is evicted.
    std::size_t cacheSize = 14;
    double slowness = 1;
    bool reportsWorkTime = false;
};

/// Upstream in virtual time, with slots, a queue, a cache of objects and load reports. It drops a request whose
/// exchange is cancelled.
class SimulatedUpstream {
public:
    SimulatedUpstream(TestSupport::VirtualTime& time, UpstreamBehaviour behaviour);

    using Done = std::function<void(Ports::ExchangeResult)>;
    struct Job {
        std::string object;
        Done done;
        bool isRunning = false;
        bool hasEnded = false;
    };
    using JobPointer = std::shared_ptr<Job>;

    auto offer(const JobPointer& job) -> void;
    /// Ends the job without an answer, and frees its slot or its place in the queue.
    auto drop(const JobPointer& job) -> void;
    auto setSlowness(double factor) -> void { m_behaviour.slowness = factor; }
    /// From now on others use the machine in bursts of a few hundred milliseconds.
    auto shareMachine() -> void;
    /// Drops all requests from now on.
    auto stopResponding() -> void { m_isUnresponsive = true; }

private:
    auto start(const JobPointer& job) -> void;
    auto startNext() -> void;
    auto finish(const JobPointer& job) -> void;
    auto serviceTime(const std::string& object) -> Core::Duration;
    auto cacheObject(const std::string& object) -> void;
    [[nodiscard]] auto load() const -> Ports::ReportedLoad;

    TestSupport::VirtualTime& m_time;
    UpstreamBehaviour m_behaviour;
    std::mt19937_64 m_random { 7 };
    std::uint32_t m_running = 0;
    std::deque<JobPointer> m_waiting;
    std::list<std::string> m_cache;
    bool m_isUnresponsive = false;
};

/// Exchange client that connects the entry VMs to the simulated upstreams.
class SimulatedExchanges : public Ports::ExchangeClient {
public:
    explicit SimulatedExchanges(TestSupport::VirtualTime& time)
        : m_time(time)
    {
    }

    auto add(const Core::UpstreamId& id, UpstreamBehaviour behaviour) -> void;
    auto at(const Core::UpstreamId& id) -> SimulatedUpstream& { return *m_upstreams.at(id); }

    auto start(Ports::ExchangeCall call, ResultCallback callback) -> std::shared_ptr<Ports::Exchange> override;
    auto probeHealth(const Ports::UpstreamTarget& target, const std::string&, HealthCallback callback) -> void override;

private:
    TestSupport::VirtualTime& m_time;
    std::map<Core::UpstreamId, std::unique_ptr<SimulatedUpstream>> m_upstreams;
};

/// Numbers of requests of one run by outcome.
struct Outcomes {
    int sent = 0;
    int inTarget = 0;
    int late = 0;
    int refused = 0;
    /// Requests of the less urgent kind, which the other counters include.
    int lessUrgentSent = 0;
    int lessUrgentServed = 0;

    [[nodiscard]] auto lessUrgentServedShare() const -> double
    {
        return lessUrgentSent == 0 ? 0 : static_cast<double>(lessUrgentServed) / lessUrgentSent;
    }
    [[nodiscard]] auto urgentServedShare() const -> double
    {
        return static_cast<double>(inTarget + late - lessUrgentServed) / (sent - lessUrgentSent);
    }
    [[nodiscard]] auto inTargetShare() const -> double { return sent == 0 ? 0 : static_cast<double>(inTarget) / sent; }
};

/// Load of one run: request rate over all regions, its swing, a burst and faults.
struct LoadPattern {
    std::string name;
    double perSecond = 115;
    /// Amplitude of a sine wave on the rate of each region, as a share of the rate; the regions are out of phase.
    double swing = 0;
    double burstFactor = 1;
    Core::Millis burstFrom { 0 };
    Core::Millis burstUntil { 0 };
    /// Number of upstreams that stop responding, and of those that become slow, in the middle of the run.
    int unresponsiveUpstreams = 0;
    int slowUpstreams = 0;
    /// Whether others use the machines of the upstreams in short bursts, and whether the upstreams report it.
    bool hasSharedMachines = false;
    bool reportsWorkTime = false;
    /// Share of the requests that are less urgent requests to the same service.
    double lessUrgentShare = 0;
    Core::Millis length { 30'000 };
};

/// Sends requests to upstreams of its choice; one instance per entry VM.
class RequestSender {
public:
    virtual ~RequestSender() = default;
    virtual auto send(Forwarding::ForwardRequest request, Forwarding::ForwardCallback callback) -> void = 0;
};

enum class Policy : std::uint8_t { Product, RandomUpstream, LeastOutstanding };

/// Runs the pattern on a site of three regions and ten entry VMs. Each region has its own objects.
auto simulate(const LoadPattern& pattern, Policy policy) -> Outcomes;

} // namespace ForwardingTest
