#pragma once

#include "ports/upstreamclient.h"
#include "support/virtualtime.h"

#include <deque>
#include <map>
#include <random>

namespace TestSupport {

/// Behaviour of one simulated endpoint; may be changed while it runs.
struct SimulatedBehaviour {
    std::uint32_t slots = 3;
    /// Requests that wait at the endpoint; beyond them it sheds.
    std::size_t queue = 64;
    bool isDown = false;
    bool isDraining = false;
    bool shedsAll = false;
    /// Runs requests and never answers on open connections; new connections work.
    bool hasSilentConnections = false;
    /// Gives the answer of another request.
    bool crossesAnswers = false;
    /// Chance that the connection is lost after the run, 0 to 1.
    double lossShare = 0;
    bool answersQueries = true;
    /// Replaces the truth in load reports.
    std::optional<Ports::LoadReport> lie;
};

/// What one simulated endpoint went through.
struct SimulatedRecord {
    std::uint32_t inFlight = 0;
    std::uint32_t highestInFlight = 0;
    std::uint32_t crashes = 0;
    Core::Duration busyTime {};
    std::uint64_t arrivals = 0;
};

/// Upstream endpoints with slots, a queue, service times and faults, on virtual time.
class SimulatedUpstreams : public Ports::UpstreamClient {
public:
    /// Time for which a crashed endpoint stays down.
    static constexpr Core::Millis restartTime { 200 };

    SimulatedUpstreams(VirtualTime& time, std::uint64_t seed, Core::Duration oneWayDelay);

    /// Service times are uniform between half and one and a half times the mean.
    auto setServiceTime(const Core::ServiceId& service, Core::Duration mean) -> void;
    /// A request whose body contains the text crashes the endpoint; empty for never.
    auto setCrashOn(std::string text) -> void { m_crashOn = std::move(text); }
    auto behaviour(const Core::UpstreamId& upstream) -> SimulatedBehaviour& { return m_endpoints[upstream].behaviour; }
    [[nodiscard]] auto records() const -> std::map<Core::UpstreamId, SimulatedRecord>;
    /// Runs by request id, over all endpoints.
    [[nodiscard]] auto runs() const -> const std::map<Core::RequestId, std::uint32_t>& { return m_runs; }

    auto send(Ports::UpstreamCall call, ResultCallback callback) -> void override;
    auto queryLoad(const Core::Address& address, LoadCallback callback) -> void override;
    auto cancel(const Core::Address& address, const Core::RequestId& id, CancelCallback callback) -> void override;

private:
    /// One call; shared by the events that may end it.
    struct Exchange {
        Ports::UpstreamCall call;
        ResultCallback callback;
        bool isEnded = false;
    };
    using ExchangePointer = std::shared_ptr<Exchange>;
    struct Simulated {
        SimulatedBehaviour behaviour;
        SimulatedRecord record;
        std::deque<ExchangePointer> waiting;
        std::map<Core::RequestId, ExchangePointer> running;
        std::uint64_t incarnation = 0;
    };

    auto arrive(const ExchangePointer& exchange) -> void;
    auto startWaiting(Simulated& endpoint) -> void;
    auto run(Simulated& endpoint, const ExchangePointer& exchange) -> void;
    auto complete(Simulated& endpoint, const ExchangePointer& exchange) -> void;
    auto crash(Simulated& endpoint) -> void;
    auto end(const ExchangePointer& exchange, Ports::UpstreamOutcome outcome) -> void;
    auto drawServiceTime(const Core::ServiceId& service) -> Core::Duration;
    auto draw() -> double;

    VirtualTime& m_time;
    std::mt19937_64 m_random;
    Core::Duration m_oneWayDelay;
    std::string m_crashOn;
    std::map<Core::ServiceId, Core::Duration> m_serviceTimes;
    std::map<Core::UpstreamId, Simulated> m_endpoints;
    std::map<Core::RequestId, std::uint32_t> m_runs;
};

} // namespace TestSupport
