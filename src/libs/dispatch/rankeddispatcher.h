#pragma once

#include "configuration/steeringconfiguration.h"
#include "core/sharded.h"
#include "dispatch/admissionlimit.h"
#include "dispatch/dispatcher.h"
#include "dispatch/dispatchpool.h"
#include "dispatch/openrequests.h"
#include "dispatch/requestquarantine.h"
#include "dispatch/suspicionannouncer.h"
#include "dispatch/waketimer.h"
#include "fleet/fleetholder.h"
#include "fleet/upstreamownership.h"
#include "ports/clock.h"
#include "ports/scheduler.h"
#include "ports/upstreamclient.h"

#include <atomic>

namespace Dispatch {

/// Dispatches requests to the upstreams that this entry VM owns: urgent first, with floors, fairness between callers,
/// early refusal, a retry budget, ejection, and quarantine of requests that crash upstreams.
class RankedDispatcher : public Dispatcher, public Fleet::LoadSource {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::UpstreamClient& upstreams;
        const Fleet::FleetSource& fleet;
        const Configuration::ConfigurationSource& configuration;
        const Fleet::UpstreamOwnership& ownership;
    };

    RankedDispatcher(Collaborators collaborators, Core::FailureDomainId failureDomain);
    ~RankedDispatcher() override;

    /// Begins to follow the fleet list and to ask the own upstreams for their load.
    auto start() -> void;
    auto dispatch(Core::ServiceRequest request, const Configuration::ServicePolicy& policy,
        Core::ReplyCallback callback) -> void override;
    [[nodiscard]] auto serviceLoads() const -> std::vector<Fleet::ServiceLoad> override;
    /// Takes no new request; calls back when the last reply has been given.
    auto drain(OpenRequests::DrainedCallback callback) -> void;
    [[nodiscard]] auto quarantine() -> CrashSuspicionExchange& { return m_quarantine; }
    /// Sets who tells other entry VMs of crashes; to be called before the first request.
    auto setSuspicionAnnouncer(SuspicionAnnouncer& announcer) -> void { m_announcer = &announcer; }

private:
    using PoolId = Core::ServiceId;
    struct State {
        std::map<PoolId, DispatchPool> pools;
    };
    using PoolDecision = std::function<DispatchEffects(DispatchPool&)>;

    auto tick() -> void;
    auto refreshFleet() -> void;
    auto queryLoads() -> void;
    auto queryLoad(const PoolId& pool, const Fleet::Upstream& upstream) -> void;
    auto decide(const PoolId& pool, const PoolDecision& decision) -> void;
    auto perform(const PoolId& pool, DispatchEffects effects) -> void;
    auto wake() -> void;

    auto begin(const PoolId& pool, Assignment assignment) -> void;
    auto finish(const PoolId& pool, Assignment assignment, Core::Instant startedAt, Ports::UpstreamResult result)
        -> void;
    auto finishAnswered(const PoolId& pool, const Assignment& assignment, Core::Instant startedAt, Core::Answer answer)
        -> void;
    auto finishNotRun(const PoolId& pool, const Assignment& assignment, const Ports::UpstreamResult& result) -> void;
    auto finishPossiblyRun(const PoolId& pool, const Assignment& assignment, const Ports::UpstreamResult& result)
        -> void;
    auto finishLost(const PoolId& pool, const Assignment& assignment, const Ports::UpstreamResult& result) -> void;
    auto finishTimedOut(const PoolId& pool, const Assignment& assignment, bool reusedConnection) -> void;
    /// mayBeConnection: only the connection, not the endpoint, may have failed.
    auto judgeFailure(const PoolId& pool, const Fleet::Upstream& upstream, bool mayBeConnection) -> void;
    auto retryOrReject(const PoolId& pool, const PendingPointer& pending, Core::RefusalReason reason) -> void;
    auto release(const PoolId& pool, const Assignment& assignment) -> void;

    auto settle(const PendingPointer& pending, Core::Reply reply) -> void;
    auto reject(const PendingPointer& pending, Core::RefusalReason reason) -> void;

    Collaborators m_collaborators;
    Core::FailureDomainId m_failureDomain;
    mutable Core::Sharded<State> m_state;
    AdmissionLimit m_admission;
    OpenRequests m_open;
    RequestQuarantine m_quarantine;
    SuspicionAnnouncer* m_announcer = nullptr;
    std::atomic<std::uint64_t> m_fleetVersion { 0 };
    std::shared_ptr<WakeTimer> m_tickTimer;
    std::shared_ptr<WakeTimer> m_wakeTimer;
};

} // namespace Dispatch
