#pragma once

#include "fakes.h"

#include <deque>
#include <list>
#include <memory>

namespace ForwardingTest {

/// How an upstream of the simulation works.
struct UpstreamNature {
    int slots = 4;
    std::size_t queue = 12;
    Core::Millis coldWork { 640 };
    Core::Millis warmWork { 192 };
    /// Objects that it remembers; the longest unused one is forgotten.
    std::size_t remembers = 14;
    double slowness = 1;
};

/// One upstream on the virtual clock: slots, a queue, a memory for objects, and a load that it reports.
class SimulatedUpstream {
public:
    SimulatedUpstream(TestSupport::VirtualTime& time, UpstreamNature nature);

    using Done = std::function<void(Ports::ExchangeResult)>;
    auto offer(const std::string& object, Done done) -> void;
    auto setSlowness(double factor) -> void { m_nature.slowness = factor; }
    /// Answers nothing any more.
    auto vanish() -> void { m_isGone = true; }

private:
    struct Work {
        std::string object;
        Done done;
    };

    auto start(Work work) -> void;
    auto finish(const Work& work) -> void;
    auto workTime(const std::string& object) -> Core::Duration;
    auto remember(const std::string& object) -> void;
    [[nodiscard]] auto load() const -> Ports::ReportedLoad;

    TestSupport::VirtualTime& m_time;
    UpstreamNature m_nature;
    std::mt19937_64 m_random { 7 };
    std::uint32_t m_running = 0;
    std::deque<Work> m_waiting;
    std::list<std::string> m_memory;
    bool m_isGone = false;
};

/// The upstreams of a site as entry VMs reach them.
class SimulatedExchanges : public Ports::ExchangeClient {
public:
    explicit SimulatedExchanges(TestSupport::VirtualTime& time)
        : m_time(time)
    {
    }

    auto add(const Core::UpstreamId& id, UpstreamNature nature) -> void;
    auto at(const Core::UpstreamId& id) -> SimulatedUpstream& { return *m_upstreams.at(id); }

    auto start(Ports::ExchangeCall call, ResultCallback callback) -> std::shared_ptr<Ports::Exchange> override;
    auto askHealth(const Ports::UpstreamTarget& target, const std::string&, HealthCallback callback) -> void override;

private:
    TestSupport::VirtualTime& m_time;
    std::map<Core::UpstreamId, std::unique_ptr<SimulatedUpstream>> m_upstreams;
};

/// What became of the requests of one run.
struct Outcomes {
    int asked = 0;
    int inTarget = 0;
    int late = 0;
    int refused = 0;
    /// Of them, those of the less urgent kind.
    int lessUrgentAsked = 0;
    int lessUrgentServed = 0;

    [[nodiscard]] auto lessUrgentServedShare() const -> double
    {
        return lessUrgentAsked == 0 ? 0 : static_cast<double>(lessUrgentServed) / lessUrgentAsked;
    }
    [[nodiscard]] auto urgentServedShare() const -> double
    {
        return static_cast<double>(inTarget + late - lessUrgentServed) / (asked - lessUrgentAsked);
    }
    [[nodiscard]] auto inTargetShare() const -> double
    {
        return asked == 0 ? 0 : static_cast<double>(inTarget) / asked;
    }
};

/// How requests come: a rate over all regions, its wave, a burst, and what goes wrong.
struct LoadPattern {
    std::string name;
    double perSecond = 115;
    /// The rate of each region swings by this share, one region after the other.
    double swing = 0;
    double burstFactor = 1;
    Core::Millis burstFrom { 0 };
    Core::Millis burstUntil { 0 };
    /// Upstreams that vanish, and upstreams that turn slow, in the middle of the run.
    int vanishing = 0;
    int slowing = 0;
    /// Share of the requests that are of a less urgent kind at the same service.
    double lessUrgentShare = 0;
    Core::Millis length { 30'000 };
};

/// Chooses upstreams for requests; one for each entry VM.
class Placement {
public:
    virtual ~Placement() = default;
    virtual auto send(Forwarding::ForwardRequest request, Forwarding::ForwardCallback callback) -> void = 0;
};

enum class Policy : std::uint8_t { Product, RandomUpstream, LeastOutstanding };

/// Plays the pattern on a site of three regions and ten entry VMs, each region with objects of its own.
auto play(const LoadPattern& pattern, Policy policy) -> Outcomes;

} // namespace ForwardingTest
