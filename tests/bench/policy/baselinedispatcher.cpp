#include "baselinedispatcher.h"

#include "dispatch/fifodispatcher.h"

#include <algorithm>

namespace PolicyBench {

namespace {

    /// Number of retry delays that fit into the time until the deadline.
    constexpr int retriesToDeadline = 20;
    constexpr std::uint32_t boundedAttempts = 3;

} // namespace

BaselineDispatcher::BaselineDispatcher(Dependencies dependencies)
    : m_dependencies(dependencies)
{
}

auto BaselineDispatcher::dispatch(
    Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback) -> void
{
    const auto retryDelay = (request.deadline - m_dependencies.time.now()) / retriesToDeadline;
    attempt(std::make_shared<Pending>(Pending { std::move(request), policy, std::move(callback), retryDelay }));
}

auto BaselineDispatcher::outstanding(const Core::UpstreamId& upstream) const -> std::uint32_t
{
    const auto found = m_outstanding.find(upstream);
    return found == m_outstanding.end() ? 0 : found->second;
}

auto BaselineDispatcher::attempt(const PendingPointer& pending) -> void
{
    const auto fleet = m_dependencies.fleet.current();
    Candidates candidates;
    for (const auto& upstream : fleet->upstreams) {
        if (upstream.service == pending->policy.pool && upstream.state == Fleet::MemberState::Live)
            candidates.push_back(&upstream);
    }
    const auto& upstream = *choose(candidates);
    ++pending->attempts;
    ++m_outstanding[upstream.id];
    m_dependencies.upstreams.send({ upstream.id, upstream.address, pending->request, pending->policy.rank },
        [this, pending, id = upstream.id](Ports::UpstreamResult result) {
            --m_outstanding[id];
            finish(pending, std::move(result));
        });
}

auto BaselineDispatcher::finish(const PendingPointer& pending, Ports::UpstreamResult result) -> void
{
    using Ports::UpstreamOutcome;
    const bool isNotRun = result.outcome == UpstreamOutcome::Shed || result.outcome == UpstreamOutcome::NotSent;
    pending->mayHaveRun = pending->mayHaveRun || !isNotRun;
    const bool mayRunAgain = isNotRun || (pending->policy.isIdempotent && result.outcome == UpstreamOutcome::Lost);
    const bool hasTime = m_dependencies.time.now() + pending->retryDelay < pending->request.deadline;
    if (result.outcome != UpstreamOutcome::Answered && mayRunAgain && hasTime && mayRetry(pending->attempts)) {
        m_dependencies.time.schedule(pending->retryDelay, [this, pending] { attempt(pending); });
        return;
    }
    auto reply = Dispatch::replyFor(std::move(result));
    if (auto* refusal = std::get_if<Core::Refusal>(&reply); refusal != nullptr && pending->mayHaveRun)
        refusal->outcome = Core::RunOutcome::Unknown;
    pending->callback(std::move(reply));
}

RandomDispatcher::RandomDispatcher(Dependencies dependencies, std::uint64_t seed)
    : BaselineDispatcher(dependencies)
    , m_random(seed)
{
}

auto RandomDispatcher::choose(const Candidates& candidates) -> const Fleet::Upstream*
{
    return candidates[m_random() % candidates.size()];
}

auto RandomDispatcher::mayRetry(std::uint32_t) const -> bool { return true; }

auto LeastOutstandingDispatcher::choose(const Candidates& candidates) -> const Fleet::Upstream*
{
    return *std::min_element(candidates.begin(), candidates.end(),
        [this](const auto* left, const auto* right) { return outstanding(left->id) < outstanding(right->id); });
}

auto LeastOutstandingDispatcher::mayRetry(std::uint32_t attempts) const -> bool { return attempts < boundedAttempts; }

} // namespace PolicyBench
