#include "dispatch/fifodispatcher.h"

namespace Dispatch {

namespace {

    auto refusal(Core::RunOutcome outcome, Core::RefusalReason reason, std::string message, std::string remedy)
        -> Core::Refusal
    {
        return { outcome, reason, std::move(message), std::move(remedy), {} };
    }

    auto leastBusy(const std::vector<Fleet::Upstream>& upstreams, const Core::ServiceId& service,
        const Core::FailureDomainId& failureDomain, const std::map<Core::UpstreamId, std::uint32_t>& busy)
        -> const Fleet::Upstream*
    {
        const Fleet::Upstream* best = nullptr;
        std::uint32_t bestBusy = 0;
        for (const auto& upstream : upstreams) {
            if (upstream.service != service || upstream.failureDomain != failureDomain
                || upstream.state != Fleet::MemberState::Live)
                continue;
            const auto found = busy.find(upstream.id);
            const auto count = found == busy.end() ? 0 : found->second;
            if (count < upstream.slots.value() && (best == nullptr || count < bestBusy)) {
                best = &upstream;
                bestBusy = count;
            }
        }
        return best;
    }

} // namespace

auto replyFor(Ports::UpstreamResult result) -> Core::Reply
{
    using Core::RefusalReason;
    using Core::RunOutcome;
    using Ports::UpstreamOutcome;
    switch (result.outcome) {
    case UpstreamOutcome::Answered:
        return std::move(result.answer);
    case UpstreamOutcome::Shed:
        return refusal(RunOutcome::NotRun, RefusalReason::Overloaded,
            "the upstream shed the request before starting it", "try again later");
    case UpstreamOutcome::NotSent:
        return refusal(RunOutcome::NotRun, RefusalReason::NoUpstream, "no connection to the upstream: " + result.detail,
            "try again; operators check that the upstream is up");
    case UpstreamOutcome::Lost:
        return refusal(RunOutcome::Unknown, RefusalReason::UpstreamFailed,
            "the upstream's connection ended before its answer: " + result.detail,
            "retry with the same idempotency key");
    case UpstreamOutcome::TimedOut:
        return refusal(RunOutcome::Unknown, RefusalReason::UpstreamTimeout,
            "the upstream did not answer before the deadline", "retry with the same idempotency key");
    case UpstreamOutcome::Invalid:
        break;
    }
    return refusal(RunOutcome::Unknown, RefusalReason::UpstreamAnswerInvalid,
        "the upstream's answer was invalid: " + result.detail, "retry with the same idempotency key");
}

FifoDispatcher::FifoDispatcher(Dependencies dependencies, Core::FailureDomainId failureDomain)
    : m_dependencies(dependencies)
    , m_failureDomain(std::move(failureDomain))
{
}

auto FifoDispatcher::dispatch(
    Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback) -> void
{
    const auto service = request.service;
    m_state.with(service, [&](State& state) {
        state.services[service].queue.push_back({ std::move(request), policy, std::move(callback) });
    });
    startQueuedRequests(service);
}

auto FifoDispatcher::startQueuedRequests(const Core::ServiceId& service) -> void
{
    auto assignments
        = m_state.with(service, [&](State& state) { return takeAssignments(state.services[service], service); });
    for (auto& assignment : assignments)
        start(std::move(assignment));
}

auto FifoDispatcher::takeAssignments(ServiceState& state, const Core::ServiceId& service) -> std::vector<Assignment>
{
    std::vector<Assignment> assignments;
    const auto fleet = m_dependencies.fleet.current();
    while (!state.queue.empty()) {
        const auto* upstream = leastBusy(fleet->upstreams, service, m_failureDomain, state.busy);
        if (upstream == nullptr)
            break;
        ++state.busy[upstream->id];
        assignments.push_back({ std::move(state.queue.front()), *upstream });
        state.queue.pop_front();
    }
    return assignments;
}

auto FifoDispatcher::start(Assignment assignment) -> void
{
    auto& queued = assignment.queued;
    const auto service = queued.request.service;
    const auto upstream = assignment.upstream.id;
    if (queued.request.deadline <= m_dependencies.clock.now()) {
        queued.callback(refusal(Core::RunOutcome::NotRun, Core::RefusalReason::DeadlinePassed,
            "the deadline passed while the request was waiting", "send it with a later deadline"));
        finish(service, upstream);
        return;
    }
    ::Ports::UpstreamCall call { upstream, assignment.upstream.address, std::move(queued.request), queued.policy.rank };
    m_dependencies.upstreams.send(std::move(call),
        [this, service, upstream, callback = std::move(queued.callback)](::Ports::UpstreamResult result) {
            callback(replyFor(std::move(result)));
            finish(service, upstream);
        });
}

auto FifoDispatcher::finish(const Core::ServiceId& service, const Core::UpstreamId& upstream) -> void
{
    m_state.with(service, [&](State& state) { --state.services[service].busy[upstream]; });
    startQueuedRequests(service);
}

} // namespace Dispatch
