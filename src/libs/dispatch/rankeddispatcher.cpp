#include "dispatch/rankeddispatcher.h"

#include "core/invariant.h"
#include "dispatch/refusals.h"

namespace Dispatch {

namespace {

    using Core::RefusalReason;
    using Ports::UpstreamOutcome;

    /// Maximum number of requests that one entry VM holds over all services.
    constexpr std::size_t maximumHeldRequests = 8192;
    constexpr Core::Millis tickInterval { 500 };

    auto poolOf(const Configuration::ServicePolicy& policy, const Core::ServiceId& service) -> Core::ServiceId
    {
        return policy.pool.value().empty() ? service : policy.pool;
    }

    /// Returns the policies of the services that the pool serves.
    auto policiesOf(const Core::ServiceId& pool, const Configuration::SteeringConfiguration& configuration)
        -> std::vector<Configuration::ServicePolicy>
    {
        std::vector<Configuration::ServicePolicy> policies;
        for (const auto& [service, policy] : configuration.services) {
            if (poolOf(policy, service) == pool)
                policies.push_back(policy);
        }
        return policies;
    }

    auto reasonFor(UpstreamOutcome outcome) -> RefusalReason
    {
        switch (outcome) {
        case UpstreamOutcome::Shed:
            return RefusalReason::Overloaded;
        case UpstreamOutcome::NotSent:
            return RefusalReason::NoUpstream;
        case UpstreamOutcome::TimedOut:
            return RefusalReason::UpstreamTimeout;
        case UpstreamOutcome::Invalid:
            return RefusalReason::UpstreamAnswerInvalid;
        default:
            return RefusalReason::UpstreamFailed;
        }
    }

} // namespace

RankedDispatcher::RankedDispatcher(Dependencies dependencies, Core::FailureDomainId failureDomain)
    : m_dependencies(dependencies)
    , m_failureDomain(std::move(failureDomain))
    , m_admission(maximumHeldRequests)
    , m_tickTimer(std::make_shared<WakeTimer>(dependencies.clock, dependencies.scheduler, [this] { tick(); }))
    , m_wakeTimer(std::make_shared<WakeTimer>(dependencies.clock, dependencies.scheduler, [this] { wake(); }))
{
}

RankedDispatcher::~RankedDispatcher() = default;

auto RankedDispatcher::start() -> void { tick(); }

auto RankedDispatcher::dispatch(
    Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback) -> void
{
    if (m_dependencies.fleet.current()->version.value() != m_fleetVersion.load())
        refreshFleet();
    if (!m_open.tryEnter()) {
        callback(refusalFor(Core::RunOutcome::NotRun, RefusalReason::ShuttingDown));
        return;
    }
    if (!m_admission.tryEnter(policy.rank)) {
        callback(refusalFor(Core::RunOutcome::NotRun, RefusalReason::Overloaded));
        m_open.leave();
        return;
    }
    auto pending = std::make_shared<PendingRequest>();
    pending->fingerprint = fingerprintOf(request);
    pending->policy = policy;
    pending->policy.service = request.service;
    pending->request = std::move(request);
    pending->callback = std::move(callback);
    const auto now = m_dependencies.clock.now();
    if (m_quarantine.isQuarantined(pending->fingerprint, now)) {
        reject(pending, RefusalReason::RequestQuarantined);
        return;
    }
    const auto poolId = poolOf(policy, pending->request.service);
    applyDecision(poolId, [&](DispatchPool& pool) { return pool.admit(pending, now); });
}

auto RankedDispatcher::serviceLoads() const -> std::vector<Fleet::ServiceLoad>
{
    const auto now = m_dependencies.clock.now();
    std::vector<Fleet::ServiceLoad> loads;
    m_state.forEach([&](State& state) {
        for (const auto& [id, pool] : state.pools) {
            auto poolLoads = pool.loads(now);
            std::move(poolLoads.begin(), poolLoads.end(), std::back_inserter(loads));
        }
    });
    return loads;
}

auto RankedDispatcher::drain(OpenRequests::DrainedCallback callback) -> void { m_open.drain(std::move(callback)); }

auto RankedDispatcher::tick() -> void
{
    refreshFleet();
    queryLoads();
    m_tickTimer->arm(m_dependencies.clock.now() + tickInterval);
}

auto RankedDispatcher::refreshFleet() -> void
{
    const auto fleet = m_dependencies.fleet.current();
    const auto configuration = m_dependencies.configuration.current();
    const auto now = m_dependencies.clock.now();
    m_fleetVersion = fleet->version.value();
    std::map<PoolId, std::vector<OwnedUpstream>> upstreams;
    m_state.forEach([&](State& state) {
        for (const auto& [id, pool] : state.pools)
            upstreams[id];
    });
    for (const auto& upstream : fleet->upstreams) {
        if (upstream.failureDomain == m_failureDomain)
            upstreams[upstream.service].push_back({ upstream, m_dependencies.ownership.isOwn(upstream) });
    }
    const UpstreamPool::Settings settings { configuration->ejectionLimit, configuration->slowStart };
    for (const auto& [id, listed] : upstreams) {
        const auto policies = policiesOf(id, *configuration);
        applyDecision(id, [&, &listed = listed](DispatchPool& pool) {
            pool.addServices(policies);
            return pool.refresh(listed, settings, configuration->retryBudget, now);
        });
    }
}

auto RankedDispatcher::queryLoads() -> void
{
    const auto now = m_dependencies.clock.now();
    std::vector<std::pair<PoolId, Fleet::Upstream>> targets;
    m_state.forEach([&](State& state) {
        for (auto& [id, pool] : state.pools) {
            for (auto& upstream : pool.upstreams().endpointsToQuery(now))
                targets.emplace_back(id, std::move(upstream));
        }
    });
    for (const auto& [poolId, upstream] : targets)
        queryLoad(poolId, upstream);
}

auto RankedDispatcher::queryLoad(const PoolId& poolId, const Fleet::Upstream& upstream) -> void
{
    m_dependencies.upstreams.queryLoad(
        upstream.address, [this, poolId, id = upstream.id](const Core::Result<Ports::LoadReport>& report) {
            applyDecision(poolId, [&](DispatchPool& pool) {
                const auto now = m_dependencies.clock.now();
                pool.upstreams().recordReport(id, report, now);
                return pool.advance(now);
            });
        });
}

auto RankedDispatcher::applyDecision(const PoolId& poolId, const PoolDecision& decision) -> void
{
    auto effects = m_state.with(poolId, [&](State& state) { return decision(state.pools[poolId]); });
    applyEffects(poolId, std::move(effects));
}

auto RankedDispatcher::applyEffects(const PoolId& poolId, DispatchEffects effects) -> void
{
    if (effects.wakeAt)
        m_wakeTimer->arm(*effects.wakeAt);
    for (auto& assignment : effects.assignments)
        startAttempt(poolId, std::move(assignment));
    for (const auto& rejection : effects.rejections)
        reject(rejection.pending, rejection.reason);
}

auto RankedDispatcher::wake() -> void
{
    std::vector<PoolId> poolIds;
    m_state.forEach([&](State& state) {
        for (const auto& [id, pool] : state.pools)
            poolIds.push_back(id);
    });
    const auto now = m_dependencies.clock.now();
    for (const auto& poolId : poolIds)
        applyDecision(poolId, [&](DispatchPool& pool) { return pool.advance(now); });
}

auto RankedDispatcher::startAttempt(const PoolId& poolId, Assignment assignment) -> void
{
    const auto now = m_dependencies.clock.now();
    auto& pending = *assignment.pending;
    if (!m_quarantine.tryBegin(pending.fingerprint, now)) {
        reject(assignment.pending, RefusalReason::RequestQuarantined);
        release(poolId, assignment);
        return;
    }
    Core::invariant(pending.policy.isIdempotent || pending.possibleRuns == 0, "dispatch.started-once");
    ++pending.possibleRuns;
    Ports::UpstreamCall call { assignment.upstream.id, assignment.upstream.address, pending.request,
        pending.policy.rank };
    call.request.deadline = assignment.attemptDeadline;
    m_dependencies.upstreams.send(
        std::move(call), [this, poolId, assignment = std::move(assignment), now](Ports::UpstreamResult result) {
            finishAttempt(poolId, assignment, now, std::move(result));
        });
}

auto RankedDispatcher::finishAttempt(
    const PoolId& poolId, Assignment assignment, Core::Instant startedAt, Ports::UpstreamResult result) -> void
{
    const auto now = m_dependencies.clock.now();
    const auto& upstream = assignment.upstream.id;
    if (result.isDraining) {
        applyDecision(poolId, [&](DispatchPool& pool) {
            pool.upstreams().recordDraining(upstream, now);
            return DispatchEffects {};
        });
    }
    if (result.outcome == UpstreamOutcome::Answered && result.answer.id != assignment.pending->request.id)
        result.outcome = UpstreamOutcome::Invalid;
    if (result.outcome != UpstreamOutcome::Lost)
        m_quarantine.end(assignment.pending->fingerprint, result.outcome == UpstreamOutcome::Answered);
    switch (result.outcome) {
    case UpstreamOutcome::Answered:
        finishAnswered(poolId, assignment, startedAt, std::move(result.answer));
        break;
    case UpstreamOutcome::Shed:
    case UpstreamOutcome::NotSent:
        finishNotRun(poolId, assignment, result);
        break;
    case UpstreamOutcome::TimedOut:
        finishTimedOut(poolId, assignment, result.reusedConnection);
        break;
    case UpstreamOutcome::Lost:
        finishLost(poolId, assignment, result);
        break;
    case UpstreamOutcome::Invalid:
        finishPossiblyRun(poolId, assignment, result);
        break;
    }
}

auto RankedDispatcher::finishAnswered(
    const PoolId& poolId, const Assignment& assignment, Core::Instant startedAt, Core::Answer answer) -> void
{
    const auto now = m_dependencies.clock.now();
    complete(assignment.pending, std::move(answer));
    applyDecision(poolId, [&](DispatchPool& pool) {
        pool.recordServiceTime(assignment.pending->policy.service, now - startedAt);
        pool.upstreams().recordHealth(assignment.upstream.id, Endpoint::Health::Good, now);
        return pool.release(assignment.upstream.id, assignment.pending->policy.rank, now);
    });
}

auto RankedDispatcher::finishNotRun(
    const PoolId& poolId, const Assignment& assignment, const Ports::UpstreamResult& result) -> void
{
    --assignment.pending->possibleRuns;
    const auto now = m_dependencies.clock.now();
    const auto& upstream = assignment.upstream.id;
    applyDecision(poolId, [&](DispatchPool& pool) {
        if (result.outcome == UpstreamOutcome::Shed)
            pool.upstreams().recordShed(upstream, now);
        else
            pool.upstreams().recordHealth(upstream, Endpoint::Health::Bad, now);
        return pool.release(upstream, assignment.pending->policy.rank, now);
    });
    retryOrReject(poolId, assignment.pending, reasonFor(result.outcome));
}

auto RankedDispatcher::finishPossiblyRun(
    const PoolId& poolId, const Assignment& assignment, const Ports::UpstreamResult& result) -> void
{
    // An invalid answer arrived on a working connection, so the endpoint is at fault.
    const bool mayBeConnectionFault = result.reusedConnection && result.outcome != UpstreamOutcome::Invalid;
    recordFailure(poolId, assignment.upstream, mayBeConnectionFault);
    release(poolId, assignment);
    const auto reason = reasonFor(result.outcome);
    if (assignment.pending->policy.isIdempotent)
        retryOrReject(poolId, assignment.pending, reason);
    else
        reject(assignment.pending, reason);
}

auto RankedDispatcher::finishLost(
    const PoolId& poolId, const Assignment& assignment, const Ports::UpstreamResult& result) -> void
{
    const auto crashReport = m_quarantine.endWithCrash(
        assignment.pending->fingerprint, assignment.upstream.id, m_dependencies.clock.now());
    auto resume = [this, poolId, assignment, result] { finishPossiblyRun(poolId, assignment, result); };
    // Once it has a reply, the caller may retry through another entry VM, so the crash is published to the other entry
    // VMs first. The slot remains occupied until then.
    if (m_publisher != nullptr)
        m_publisher->publish(crashReport, std::move(resume));
    else
        resume();
}

auto RankedDispatcher::finishTimedOut(const PoolId& poolId, const Assignment& assignment, bool reusedConnection) -> void
{
    recordFailure(poolId, assignment.upstream, reusedConnection);
    // The slot remains occupied until the cancellation has completed, because the upstream may still run the request.
    m_dependencies.upstreams.cancel(assignment.upstream.address, assignment.pending->request.id,
        [this, poolId, assignment](Ports::CancelOutcome outcome) {
            const bool isNotRun = outcome == Ports::CancelOutcome::CancelledBeforeStart;
            if (isNotRun)
                --assignment.pending->possibleRuns;
            release(poolId, assignment);
            if (isNotRun || assignment.pending->policy.isIdempotent)
                retryOrReject(poolId, assignment.pending, RefusalReason::UpstreamTimeout);
            else
                reject(assignment.pending, RefusalReason::UpstreamTimeout);
        });
}

auto RankedDispatcher::recordFailure(const PoolId& poolId, const Fleet::Upstream& upstream, bool mayBeConnectionFault)
    -> void
{
    const auto recordBadHealth = [this, poolId, id = upstream.id] {
        applyDecision(poolId, [&](DispatchPool& pool) {
            const auto now = m_dependencies.clock.now();
            pool.upstreams().recordHealth(id, Endpoint::Health::Bad, now);
            return pool.advance(now);
        });
    };
    if (!mayBeConnectionFault) {
        recordBadHealth();
        return;
    }
    // A reused connection can stop responding while the endpoint is healthy. The load query uses a new connection, so
    // its result shows which of the two failed.
    m_dependencies.upstreams.queryLoad(
        upstream.address, [recordBadHealth](const Core::Result<Ports::LoadReport>& report) {
            if (!report)
                recordBadHealth();
        });
}

auto RankedDispatcher::retryOrReject(const PoolId& poolId, const PendingPointer& pending, RefusalReason reason) -> void
{
    const auto now = m_dependencies.clock.now();
    applyDecision(poolId, [&](DispatchPool& pool) { return pool.retry(pending, reason, now); });
}

auto RankedDispatcher::release(const PoolId& poolId, const Assignment& assignment) -> void
{
    const auto now = m_dependencies.clock.now();
    applyDecision(poolId,
        [&](DispatchPool& pool) { return pool.release(assignment.upstream.id, assignment.pending->policy.rank, now); });
}

auto RankedDispatcher::complete(const PendingPointer& pending, Core::Reply reply) -> void
{
    Core::invariant(!pending->isReplied, "dispatch.replied-once");
    pending->isReplied = true;
    const auto* answer = std::get_if<Core::Answer>(&reply);
    Core::invariant(answer == nullptr || answer->id == pending->request.id, "dispatch.answer-matches-request");
    const auto* refusal = std::get_if<Core::Refusal>(&reply);
    const bool claimsNotRun = refusal != nullptr && refusal->outcome == Core::RunOutcome::NotRun;
    Core::invariant(!claimsNotRun || pending->possibleRuns == 0, "dispatch.not-run-is-true");
    m_admission.leave();
    pending->callback(std::move(reply));
    m_open.leave();
}

auto RankedDispatcher::reject(const PendingPointer& pending, RefusalReason reason) -> void
{
    const auto outcome = pending->possibleRuns == 0 ? Core::RunOutcome::NotRun : Core::RunOutcome::Unknown;
    complete(pending, refusalFor(outcome, reason));
}

} // namespace Dispatch
