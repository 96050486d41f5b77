#pragma once

#include "ports/upstreamclient.h"
#include "support/virtualtime.h"

#include <deque>
#include <map>
#include <random>

namespace TestSupport {

/// Behaviour of one simulated endpoint. May be changed during a run.
struct SimulatedBehaviour {
    std::uint32_t slots = 3;
    /// Maximum number of requests that wait at the endpoint; it sheds further ones.
    std::size_t queue = 64;
    bool isDown = false;
    bool isDraining = false;
    bool shedsAll = false;
    /// Runs requests but never answers on open connections. New connections work, so load queries and cancellations are
    /// still answered.
    bool hasUnresponsiveConnections = false;
    /// Answers with the answer to another request.
    bool misroutesAnswers = false;
    /// Probability that the connection is lost after the run, from 0 to 1.
    double lossProbability = 0;
    bool answersQueries = true;
    /// If set, is sent as the load report instead of the actual load.
    std::optional<Ports::LoadReport> falseReport;
};

/// Statistics of one simulated endpoint.
struct SimulatedRecord {
    std::uint32_t inFlight = 0;
    std::uint32_t highestInFlight = 0;
    std::uint32_t crashes = 0;
    Core::Duration busyTime {};
    std::uint64_t arrivals = 0;
};

/// Simulates upstream endpoints with slots, a queue, service times and faults in virtual time.
class SimulatedUpstreams : public Ports::UpstreamClient {
public:
    /// Time until a crashed endpoint is up again.
    static constexpr Core::Millis restartTime { 200 };

    SimulatedUpstreams(VirtualTime& time, std::uint64_t seed, Core::Duration oneWayDelay);

    /// Sets the mean service time; service times are uniformly distributed from 0.5 to 1.5 times the mean.
    auto setServiceTime(const Core::ServiceId& service, Core::Duration mean) -> void;
    /// Makes requests whose body contains the text crash the endpoint; none do if it is empty.
    auto setCrashOn(std::string text) -> void { m_crashOn = std::move(text); }
    auto behaviour(const Core::UpstreamId& upstream) -> SimulatedBehaviour& { return m_endpoints[upstream].behaviour; }
    [[nodiscard]] auto records() const -> std::map<Core::UpstreamId, SimulatedRecord>;
    /// Returns the number of runs of each request over all endpoints.
    [[nodiscard]] auto runs() const -> const std::map<Core::RequestId, std::uint32_t>& { return m_runs; }

    auto send(Ports::UpstreamCall call, ResultCallback callback) -> void override;
    auto queryLoad(const Core::Address& address, LoadCallback callback) -> void override;
    auto cancel(const Core::Address& address, const Core::RequestId& id, CancelCallback callback) -> void override;

private:
    /// State of one call, shared by the events that can end it.
    struct Exchange {
        Ports::UpstreamCall call;
        ResultCallback callback;
        bool isEnded = false;
    };
    using ExchangePointer = std::shared_ptr<Exchange>;
    struct SimulatedEndpoint {
        SimulatedBehaviour behaviour;
        SimulatedRecord record;
        std::deque<ExchangePointer> waiting;
        std::map<Core::RequestId, ExchangePointer> running;
        std::uint64_t incarnation = 0;
    };

    auto arrive(const ExchangePointer& exchange) -> void;
    auto startWaiting(SimulatedEndpoint& endpoint) -> void;
    auto run(SimulatedEndpoint& endpoint, const ExchangePointer& exchange) -> void;
    auto complete(SimulatedEndpoint& endpoint, const ExchangePointer& exchange) -> void;
    auto crash(SimulatedEndpoint& endpoint) -> void;
    auto end(const ExchangePointer& exchange, Ports::UpstreamOutcome outcome) -> void;
    auto drawServiceTime(const Core::ServiceId& service) -> Core::Duration;
    auto draw() -> double;

    VirtualTime& m_time;
    std::mt19937_64 m_random;
    Core::Duration m_oneWayDelay;
    std::string m_crashOn;
    std::map<Core::ServiceId, Core::Duration> m_serviceTimes;
    std::map<Core::UpstreamId, SimulatedEndpoint> m_endpoints;
    std::map<Core::RequestId, std::uint32_t> m_runs;
};

} // namespace TestSupport
