#pragma once

#include "configuration/steeringconfiguration.h"
#include "core/sharded.h"
#include "dispatch/admissionlimit.h"
#include "dispatch/crashreportpublisher.h"
#include "dispatch/dispatcher.h"
#include "dispatch/dispatchpool.h"
#include "dispatch/openrequests.h"
#include "dispatch/requestquarantine.h"
#include "dispatch/waketimer.h"
#include "fleet/fleetholder.h"
#include "fleet/upstreamownership.h"
#include "ports/clock.h"
#include "ports/scheduler.h"
#include "ports/upstreamclient.h"

#include <atomic>

namespace Dispatch {

/// Dispatches requests to the upstreams that this entry VM owns, in order of rank. Guarantees each service its floor,
/// is fair between callers, refuses requests early that cannot meet their deadline, limits retries by a budget, ejects
/// failing upstreams, and quarantines requests that crash upstreams.
class RankedDispatcher : public Dispatcher, public Fleet::LoadSource {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::UpstreamClient& upstreams;
        const Fleet::FleetSource& fleet;
        const Configuration::ConfigurationSource& configuration;
        const Fleet::UpstreamOwnership& ownership;
    };

    RankedDispatcher(Dependencies dependencies, Core::FailureDomainId failureDomain);
    ~RankedDispatcher() override;

    /// Starts the periodic refresh of the fleet list and the load queries to the owned upstreams.
    auto start() -> void;
    auto dispatch(Core::ServiceRequest request, const Configuration::ServicePolicy& policy,
        Core::ReplyCallback callback) -> void override;
    [[nodiscard]] auto serviceLoads() const -> std::vector<Fleet::ServiceLoad> override;
    /// Refuses new requests, and invokes the callback once all open requests have been replied to.
    auto drain(OpenRequests::DrainedCallback callback) -> void;
    [[nodiscard]] auto quarantine() -> CrashReportExchange& { return m_quarantine; }
    /// Sets the publisher that informs other entry VMs of crashes. Must be called before the first request.
    auto setCrashReportPublisher(CrashReportPublisher& publisher) -> void { m_publisher = &publisher; }

private:
    using PoolId = Core::ServiceId;
    struct State {
        std::map<PoolId, DispatchPool> pools;
    };
    using PoolDecision = std::function<DispatchEffects(DispatchPool&)>;

    auto tick() -> void;
    auto refreshFleet() -> void;
    auto queryLoads() -> void;
    auto queryLoad(const PoolId& poolId, const Fleet::Upstream& upstream) -> void;
    /// Calls the decision with the pool under the lock of its shard, and then executes the effects without the lock.
    auto applyDecision(const PoolId& poolId, const PoolDecision& decision) -> void;
    auto applyEffects(const PoolId& poolId, DispatchEffects effects) -> void;
    auto wake() -> void;

    auto startAttempt(const PoolId& poolId, Assignment assignment) -> void;
    auto finishAttempt(
        const PoolId& poolId, Assignment assignment, Core::Instant startedAt, Ports::UpstreamResult result) -> void;
    auto finishAnswered(
        const PoolId& poolId, const Assignment& assignment, Core::Instant startedAt, Core::Answer answer) -> void;
    auto finishNotRun(const PoolId& poolId, const Assignment& assignment, const Ports::UpstreamResult& result) -> void;
    auto finishPossiblyRun(const PoolId& poolId, const Assignment& assignment, const Ports::UpstreamResult& result)
        -> void;
    auto finishLost(const PoolId& poolId, const Assignment& assignment, const Ports::UpstreamResult& result) -> void;
    auto finishTimedOut(const PoolId& poolId, const Assignment& assignment, bool reusedConnection) -> void;
    /// Records a failure of the endpoint. If only the connection may be at fault, queries the endpoint's load first and
    /// records the failure only if that fails too.
    auto recordFailure(const PoolId& poolId, const Fleet::Upstream& upstream, bool mayBeConnectionFault) -> void;
    auto retryOrReject(const PoolId& poolId, const PendingPointer& pending, Core::RefusalReason reason) -> void;
    auto release(const PoolId& poolId, const Assignment& assignment) -> void;

    auto complete(const PendingPointer& pending, Core::Reply reply) -> void;
    auto reject(const PendingPointer& pending, Core::RefusalReason reason) -> void;

    Dependencies m_dependencies;
    Core::FailureDomainId m_failureDomain;
    mutable Core::Sharded<State> m_state;
    AdmissionLimit m_admission;
    OpenRequests m_open;
    RequestQuarantine m_quarantine;
    CrashReportPublisher* m_publisher = nullptr;
    std::atomic<std::uint64_t> m_fleetVersion { 0 };
    std::shared_ptr<WakeTimer> m_tickTimer;
    std::shared_ptr<WakeTimer> m_wakeTimer;
};

} // namespace Dispatch
