#include "dispatch/rankeddispatcher.h"

#include "core/invariant.h"
#include "dispatch/refusals.h"

namespace Dispatch {

namespace {

    using Core::RefusalReason;
    using Ports::UpstreamOutcome;

    /// Requests that one entry VM holds over all services.
    constexpr std::size_t heldRequestsLimit = 8192;
    constexpr Core::Millis tickInterval { 500 };

    auto poolOf(const Configuration::ServicePolicy& policy, const Core::ServiceId& service) -> Core::ServiceId
    {
        return policy.pool.value().empty() ? service : policy.pool;
    }

    /// Policies of the services that the pool serves.
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

RankedDispatcher::RankedDispatcher(Collaborators collaborators, Core::FailureDomainId failureDomain)
    : m_collaborators(collaborators)
    , m_failureDomain(std::move(failureDomain))
    , m_admission(heldRequestsLimit)
    , m_tickTimer(std::make_shared<WakeTimer>(collaborators.clock, collaborators.scheduler, [this] { tick(); }))
    , m_wakeTimer(std::make_shared<WakeTimer>(collaborators.clock, collaborators.scheduler, [this] { wake(); }))
{
}

RankedDispatcher::~RankedDispatcher() = default;

auto RankedDispatcher::start() -> void { tick(); }

auto RankedDispatcher::dispatch(
    Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback) -> void
{
    if (m_collaborators.fleet.current()->version.value() != m_fleetVersion.load())
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
    const auto now = m_collaborators.clock.now();
    if (m_quarantine.isQuarantined(pending->fingerprint, now)) {
        reject(pending, RefusalReason::RequestQuarantined);
        return;
    }
    const auto pool = poolOf(policy, pending->request.service);
    decide(pool, [&](DispatchPool& state) { return state.admit(pending, now); });
}

auto RankedDispatcher::serviceLoads() const -> std::vector<Fleet::ServiceLoad>
{
    const auto now = m_collaborators.clock.now();
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
    m_tickTimer->arm(m_collaborators.clock.now() + tickInterval);
}

auto RankedDispatcher::refreshFleet() -> void
{
    const auto fleet = m_collaborators.fleet.current();
    const auto configuration = m_collaborators.configuration.current();
    const auto now = m_collaborators.clock.now();
    m_fleetVersion = fleet->version.value();
    std::map<PoolId, std::vector<OwnedUpstream>> upstreams;
    m_state.forEach([&](State& state) {
        for (const auto& [id, pool] : state.pools)
            upstreams[id];
    });
    for (const auto& upstream : fleet->upstreams) {
        if (upstream.failureDomain == m_failureDomain)
            upstreams[upstream.service].push_back({ upstream, m_collaborators.ownership.isOwn(upstream) });
    }
    const UpstreamPool::Settings settings { configuration->ejectionLimit, configuration->slowStart };
    for (const auto& [id, listed] : upstreams) {
        const auto policies = policiesOf(id, *configuration);
        decide(id, [&, &listed = listed](DispatchPool& pool) {
            pool.addServices(policies);
            return pool.refresh(listed, settings, configuration->retryBudget, now);
        });
    }
}

auto RankedDispatcher::queryLoads() -> void
{
    const auto now = m_collaborators.clock.now();
    std::vector<std::pair<PoolId, Fleet::Upstream>> targets;
    m_state.forEach([&](State& state) {
        for (auto& [id, pool] : state.pools) {
            for (auto& upstream : pool.upstreams().endpointsToQuery(now))
                targets.emplace_back(id, std::move(upstream));
        }
    });
    for (const auto& [pool, upstream] : targets)
        queryLoad(pool, upstream);
}

auto RankedDispatcher::queryLoad(const PoolId& pool, const Fleet::Upstream& upstream) -> void
{
    m_collaborators.upstreams.queryLoad(
        upstream.address, [this, pool, id = upstream.id](const Core::Result<Ports::LoadReport>& report) {
            decide(pool, [&](DispatchPool& state) {
                const auto now = m_collaborators.clock.now();
                state.upstreams().recordReport(id, report, now);
                return state.advance(now);
            });
        });
}

auto RankedDispatcher::decide(const PoolId& pool, const PoolDecision& decision) -> void
{
    auto effects = m_state.with(pool, [&](State& state) { return decision(state.pools[pool]); });
    perform(pool, std::move(effects));
}

auto RankedDispatcher::perform(const PoolId& pool, DispatchEffects effects) -> void
{
    if (effects.wakeAt)
        m_wakeTimer->arm(*effects.wakeAt);
    for (auto& assignment : effects.assignments)
        begin(pool, std::move(assignment));
    for (const auto& rejection : effects.rejections)
        reject(rejection.pending, rejection.reason);
}

auto RankedDispatcher::wake() -> void
{
    std::vector<PoolId> pools;
    m_state.forEach([&](State& state) {
        for (const auto& [id, pool] : state.pools)
            pools.push_back(id);
    });
    const auto now = m_collaborators.clock.now();
    for (const auto& pool : pools)
        decide(pool, [&](DispatchPool& state) { return state.advance(now); });
}

auto RankedDispatcher::begin(const PoolId& pool, Assignment assignment) -> void
{
    const auto now = m_collaborators.clock.now();
    auto& pending = *assignment.pending;
    if (!m_quarantine.tryBegin(pending.fingerprint, now)) {
        reject(assignment.pending, RefusalReason::RequestQuarantined);
        release(pool, assignment);
        return;
    }
    Core::invariant(pending.policy.isIdempotent || pending.possibleRuns == 0, "dispatch.started-once");
    ++pending.possibleRuns;
    Ports::UpstreamCall call { assignment.upstream.id, assignment.upstream.address, pending.request,
        pending.policy.rank };
    call.request.deadline = assignment.attemptDeadline;
    m_collaborators.upstreams.send(
        std::move(call), [this, pool, assignment = std::move(assignment), now](Ports::UpstreamResult result) {
            finish(pool, assignment, now, std::move(result));
        });
}

auto RankedDispatcher::finish(
    const PoolId& pool, Assignment assignment, Core::Instant startedAt, Ports::UpstreamResult result) -> void
{
    const auto now = m_collaborators.clock.now();
    const auto& upstream = assignment.upstream.id;
    if (result.isDraining) {
        decide(pool, [&](DispatchPool& state) {
            state.upstreams().recordDraining(upstream, now);
            return DispatchEffects {};
        });
    }
    if (result.outcome == UpstreamOutcome::Answered && result.answer.id != assignment.pending->request.id)
        result.outcome = UpstreamOutcome::Invalid;
    if (result.outcome != UpstreamOutcome::Lost)
        m_quarantine.end(assignment.pending->fingerprint, result.outcome == UpstreamOutcome::Answered);
    switch (result.outcome) {
    case UpstreamOutcome::Answered:
        finishAnswered(pool, assignment, startedAt, std::move(result.answer));
        break;
    case UpstreamOutcome::Shed:
    case UpstreamOutcome::NotSent:
        finishNotRun(pool, assignment, result);
        break;
    case UpstreamOutcome::TimedOut:
        finishTimedOut(pool, assignment, result.reusedConnection);
        break;
    case UpstreamOutcome::Lost:
        finishLost(pool, assignment, result);
        break;
    case UpstreamOutcome::Invalid:
        finishPossiblyRun(pool, assignment, result);
        break;
    }
}

auto RankedDispatcher::finishAnswered(
    const PoolId& pool, const Assignment& assignment, Core::Instant startedAt, Core::Answer answer) -> void
{
    const auto now = m_collaborators.clock.now();
    settle(assignment.pending, std::move(answer));
    decide(pool, [&](DispatchPool& state) {
        state.recordServiceTime(assignment.pending->policy.service, now - startedAt);
        state.upstreams().recordHealth(assignment.upstream.id, Endpoint::Health::Good, now);
        return state.release(assignment.upstream.id, assignment.pending->policy.rank, now);
    });
}

auto RankedDispatcher::finishNotRun(
    const PoolId& pool, const Assignment& assignment, const Ports::UpstreamResult& result) -> void
{
    --assignment.pending->possibleRuns;
    const auto now = m_collaborators.clock.now();
    const auto& upstream = assignment.upstream.id;
    decide(pool, [&](DispatchPool& state) {
        if (result.outcome == UpstreamOutcome::Shed)
            state.upstreams().recordShed(upstream, now);
        else
            state.upstreams().recordHealth(upstream, Endpoint::Health::Bad, now);
        return state.release(upstream, assignment.pending->policy.rank, now);
    });
    retryOrReject(pool, assignment.pending, reasonFor(result.outcome));
}

auto RankedDispatcher::finishPossiblyRun(
    const PoolId& pool, const Assignment& assignment, const Ports::UpstreamResult& result) -> void
{
    // An invalid answer came over a working connection, so it is the endpoint's own fault.
    const bool mayBeConnection = result.reusedConnection && result.outcome != UpstreamOutcome::Invalid;
    judgeFailure(pool, assignment.upstream, mayBeConnection);
    release(pool, assignment);
    const auto reason = reasonFor(result.outcome);
    if (assignment.pending->policy.isIdempotent)
        retryOrReject(pool, assignment.pending, reason);
    else
        reject(assignment.pending, reason);
}

auto RankedDispatcher::finishLost(const PoolId& pool, const Assignment& assignment, const Ports::UpstreamResult& result)
    -> void
{
    const auto suspicion = m_quarantine.endWithCrash(
        assignment.pending->fingerprint, assignment.upstream.id, m_collaborators.clock.now());
    auto resume = [this, pool, assignment, result] { finishPossiblyRun(pool, assignment, result); };
    // The caller may send the request again through another entry VM as soon as it is answered, so the others are told
    // first. The slot stays taken meanwhile.
    if (m_announcer != nullptr)
        m_announcer->announce(suspicion, std::move(resume));
    else
        resume();
}

auto RankedDispatcher::finishTimedOut(const PoolId& pool, const Assignment& assignment, bool reusedConnection) -> void
{
    judgeFailure(pool, assignment.upstream, reusedConnection);
    // The slot stays taken until the upstream has been told, since it may still be running the request.
    m_collaborators.upstreams.cancel(assignment.upstream.address, assignment.pending->request.id,
        [this, pool, assignment](Ports::CancelOutcome outcome) {
            const bool isNotRun = outcome == Ports::CancelOutcome::CancelledBeforeStart;
            if (isNotRun)
                --assignment.pending->possibleRuns;
            release(pool, assignment);
            if (isNotRun || assignment.pending->policy.isIdempotent)
                retryOrReject(pool, assignment.pending, RefusalReason::UpstreamTimeout);
            else
                reject(assignment.pending, RefusalReason::UpstreamTimeout);
        });
}

auto RankedDispatcher::judgeFailure(const PoolId& pool, const Fleet::Upstream& upstream, bool mayBeConnection) -> void
{
    const auto countAgainst = [this, pool, id = upstream.id] {
        decide(pool, [&](DispatchPool& state) {
            const auto now = m_collaborators.clock.now();
            state.upstreams().recordHealth(id, Endpoint::Health::Bad, now);
            return state.advance(now);
        });
    };
    if (!mayBeConnection) {
        countAgainst();
        return;
    }
    // An old connection can go silent while the endpoint is well: a new connection tells which one failed.
    m_collaborators.upstreams.queryLoad(
        upstream.address, [countAgainst](const Core::Result<Ports::LoadReport>& report) {
            if (!report)
                countAgainst();
        });
}

auto RankedDispatcher::retryOrReject(const PoolId& pool, const PendingPointer& pending, RefusalReason reason) -> void
{
    const auto now = m_collaborators.clock.now();
    decide(pool, [&](DispatchPool& state) { return state.retry(pending, reason, now); });
}

auto RankedDispatcher::release(const PoolId& pool, const Assignment& assignment) -> void
{
    const auto now = m_collaborators.clock.now();
    decide(pool, [&](DispatchPool& state) {
        return state.release(assignment.upstream.id, assignment.pending->policy.rank, now);
    });
}

auto RankedDispatcher::settle(const PendingPointer& pending, Core::Reply reply) -> void
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
    settle(pending, refusalFor(outcome, reason));
}

} // namespace Dispatch
