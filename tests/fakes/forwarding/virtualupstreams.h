#pragma once

#include "fakes/forwarding/requesttracker.h"
#include "fakes/virtualworld.h"
#include "forwarding/upstreamlist.h"

#include <memory>

namespace Fakes {

/// Limits that are checked for each arriving request.
struct UpstreamBounds {
    /// Time for which an upstream may still receive requests after its retirement was acknowledged.
    Core::Millis drain { 2500 };
    Core::Millis evacuation { 5000 };
    /// Requests per second that a cold upstream can take, and the tolerance as a factor and a constant.
    double coldRate = 4;
    double coldOvershoot = 1.5;
    double coldSlack = 5;
    /// Time until a pause that an upstream asks for binds, and the requests that may still come before its end.
    Core::Millis pauseSlack { 500 };
    int requestsInPause = 2;
};

/// Probability of each fault per request.
struct UpstreamFaults {
    double refused = 0;
    double lostBeforeRun = 0;
    double answerLost = 0;
    double silent = 0;
    double brokenAnswer = 0;
    /// Probability that a refusal asks for a pause.
    double pause = 0;
};

/// Upstreams in virtual time. Checks each request that reaches them.
class VirtualUpstreams {
public:
    /// Upstreams that a process of an entry VM has seen in the store, each with its start.
    using KnownStarts = std::set<std::pair<Core::UpstreamId, Core::ProcessStartId>>;
    using IsStable = std::function<bool(const NodeId& vm)>;

    VirtualUpstreams(VirtualWorld& world, RequestTracker& requestTracker, IsStable isStable);

    auto add(const Forwarding::UpstreamEntry& entry, Core::Duration coldTime) -> void;
    /// Ends the upstream; the requests that run there are lost.
    auto end(const Core::UpstreamId& id) -> void;
    /// Records that the store has acknowledged the retirement of the upstream.
    auto retire(const Core::UpstreamId& id) -> void;
    /// Returns the number of the upstream's next statement about itself.
    auto nextReport(const Core::UpstreamId& id) -> Forwarding::ReportNumber;
    auto setEvacuated(const Core::FailureDomainId& domain, bool isEvacuated) -> void;
    /// The store has lost the evacuation, which binds those VMs only that have been told of it until it is written
    /// again.
    auto loseEvacuation(const Core::FailureDomainId& domain) -> void { m_evacuatedAt.erase(domain); }
    auto setFaults(UpstreamFaults faults) -> void { m_faults = faults; }
    [[nodiscard]] auto isUp(const Core::UpstreamId& id) const -> bool { return m_upstreams.contains(id); }
    [[nodiscard]] auto entry(const Core::UpstreamId& id) const -> const Forwarding::UpstreamEntry&;
    [[nodiscard]] auto coldRemaining(const Core::UpstreamId& id) const -> Core::Duration;
    [[nodiscard]] auto bounds() const -> const UpstreamBounds& { return m_bounds; }

private:
    friend class VirtualExchangeClient;

    struct Job;
    using JobPointer = std::shared_ptr<Job>;

    struct ColdArrival {
        Core::Instant at;
        NodeId vm;
    };

    /// Process of an entry VM; a restarted one is another.
    using Sender = std::weak_ptr<bool>;

    /// What an upstream has told one process of an entry VM.
    struct Told {
        std::optional<Core::Instant> leavingAt;
        Core::Instant pausedAt;
        Core::Instant pausedUntil;
        int requestsInPause = 0;
    };

    struct Upstream {
        Forwarding::UpstreamEntry entry;
        Core::Instant coldUntil;
        std::optional<Core::Instant> retiredAt;
        std::vector<JobPointer> jobs;
        std::deque<ColdArrival> coldArrivals;
        std::map<Sender, Told, std::owner_less<Sender>> told;
        std::uint64_t reports = 0;
    };

    auto arrive(const JobPointer& job) -> void;
    auto checkArrival(Upstream& upstream, const Job& job) -> void;
    auto checkCold(Upstream& upstream, const Job& job) -> void;
    /// Checks that the sender heeds what the upstream has told it.
    auto checkTold(Upstream& upstream, const Job& job) -> void;
    /// Records what the store has told the VM for longer than the bounds.
    auto recordToldByStore(const Sender& sender, const KnownStarts& known) -> void;
    /// Tells the sender in a refusal to pause, or not.
    auto askForPause(const JobPointer& job, Ports::ExchangeResult& refusal) -> void;
    /// Records what the answer of the upstream says once the sender has received it; a paused VM receives it later.
    auto recordTold(const Core::UpstreamId& id, const JobPointer& job, const Ports::UpstreamSignals& signals) -> void;
    auto run(Upstream& upstream, const JobPointer& job) -> void;
    auto finishRun(const Core::UpstreamId& id, const JobPointer& job) -> void;
    auto reply(const JobPointer& job, Ports::ExchangeResult result) -> void;
    [[nodiscard]] auto at(const Core::Address& address) -> Upstream*;
    [[nodiscard]] auto loadOf(const Upstream& upstream) const -> Ports::ReportedLoad;

    VirtualWorld& m_world;
    RequestTracker& m_requestTracker;
    const IsStable m_isStable;
    const UpstreamBounds m_bounds;
    UpstreamFaults m_faults;
    std::map<Core::UpstreamId, Upstream> m_upstreams;
    std::map<Core::FailureDomainId, Core::Instant> m_evacuatedAt;
    /// Evacuations that each process knew of before the store lost any.
    std::map<Sender, Forwarding::EvacuatedDomains, std::owner_less<Sender>> m_toldEvacuations;
};

/// Exchange client that connects one VM's process to the virtual upstreams.
class VirtualExchangeClient : public Ports::ExchangeClient {
public:
    VirtualExchangeClient(VirtualUpstreams& virtualUpstreams, NodeId vm)
        : m_virtualUpstreams(virtualUpstreams)
        , m_vm(std::move(vm))
    {
    }

    auto start(Ports::ExchangeCall call, ResultCallback callback) -> std::shared_ptr<Ports::Exchange> override;
    auto probeHealth(const Ports::UpstreamTarget& target, const std::string& path, HealthCallback callback)
        -> void override;
    /// Records that this process knows of the evacuations, and of the departures of known upstreams, that were written
    /// long enough ago. It has to heed them from now on, whatever the store loses.
    auto recordKnownState(const VirtualUpstreams::KnownStarts& known) -> void
    {
        m_virtualUpstreams.recordToldByStore(m_life, known);
    }

private:
    /// Reports that an idle connection was closed because the upstream process that it led to has ended.
    auto reportEndedConnection(const Ports::ExchangeCall& call) -> void;

    VirtualUpstreams& m_virtualUpstreams;
    const NodeId m_vm;
    const std::shared_ptr<bool> m_life = std::make_shared<bool>(true);
    /// Incarnation of the upstream that the connection leads to, and the time until which the connection is kept open.
    struct IdleConnection {
        Core::ProcessStartId start;
        Core::Instant until;
    };
    std::map<Core::UpstreamId, IdleConnection> m_idleConnections;
};

} // namespace Fakes
