#include "dispatch/dispatchpool.h"

#include <algorithm>

namespace Dispatch {

namespace {

    using Core::RefusalReason;

    /// Timeout of an attempt of an idempotent request, in mean service times.
    constexpr int attemptTimeoutServiceTimes = 8;
    /// Timeout of such an attempt in target latencies; the longer of the two timeouts applies.
    constexpr int attemptTimeoutTargets = 2;

} // namespace

DispatchPool::DispatchPool(Limits limits)
    : m_limits(limits)
    , m_queue(limits.waiting)
{
}

DispatchPool::DispatchPool()
    : DispatchPool(Limits {})
{
}

auto DispatchPool::refresh(const std::vector<OwnedUpstream>& upstreams, const UpstreamPool::Settings& settings,
    Core::Share retryBudget, Core::Instant now) -> DispatchEffects
{
    m_retryShare = retryBudget;
    m_upstreams.refresh(upstreams, settings, now);
    return advance(now);
}

auto DispatchPool::admit(PendingPointer pending, Core::Instant now) -> DispatchEffects
{
    m_retryBudget.countFirstAttempt(m_retryShare);
    if (pending->policy.rank == Core::Rank::Urgent)
        m_urgentReserve.recordArrival(m_queue.meanServiceTime(pending->policy.service), now);
    DispatchEffects effects;
    if (const auto reason = rejectionFor(*pending, now)) {
        effects.rejections.push_back({ std::move(pending), *reason });
        return effects;
    }
    auto result = m_queue.offer(pending);
    if (result.evicted)
        effects.rejections.push_back({ std::move(result.evicted), RefusalReason::Overloaded });
    if (!result.isAccepted)
        effects.rejections.push_back({ std::move(pending), RefusalReason::Overloaded });
    fillSlots(effects, now);
    return effects;
}

auto DispatchPool::retry(PendingPointer pending, RefusalReason reason, Core::Instant now) -> DispatchEffects
{
    DispatchEffects effects;
    const auto expectedEnd = now + m_queue.pessimisticServiceTime(pending->policy.service);
    const bool mayRetry = pending->attempts < m_limits.attempts && expectedEnd < pending->request.deadline
        && m_upstreams.hasUsable() && m_retryBudget.tryTake();
    if (!mayRetry) {
        effects.rejections.push_back({ std::move(pending), reason });
        return effects;
    }
    m_queue.requeue(std::move(pending));
    fillSlots(effects, now);
    return effects;
}

auto DispatchPool::release(const Core::UpstreamId& upstream, Core::Rank rank, Core::Instant now) -> DispatchEffects
{
    if (rank == Core::Rank::Urgent)
        m_urgentReserve.end();
    m_upstreams.release(upstream);
    return advance(now);
}

auto DispatchPool::advance(Core::Instant now) -> DispatchEffects
{
    DispatchEffects effects;
    fillSlots(effects, now);
    return effects;
}

auto DispatchPool::recordServiceTime(const Core::ServiceId& service, Core::Duration time) -> void
{
    m_queue.recordServiceTime(service, time);
}

auto DispatchPool::loads(Core::Instant now) const -> std::vector<Fleet::ServiceLoad>
{
    const Core::SlotCount usable(m_upstreams.usableSlots(now));
    const Core::SlotCount busy(m_upstreams.busySlots());
    std::vector<Fleet::ServiceLoad> loads;
    m_queue.forEachService([&](const Core::ServiceId& service, std::size_t waiting) {
        // A pool without upstreams and without work has no load to report.
        if (usable.value() == 0 && busy.value() == 0 && waiting == 0)
            return;
        loads.push_back(
            { service, usable, busy, static_cast<std::uint32_t>(waiting), m_queue.meanServiceTime(service) });
    });
    return loads;
}

auto DispatchPool::addServices(const std::vector<Configuration::ServicePolicy>& policies) -> void
{
    for (const auto& policy : policies)
        m_queue.addService(policy);
}

auto DispatchPool::rejectionFor(const PendingRequest& pending, Core::Instant now) -> std::optional<RefusalReason>
{
    if (pending.request.deadline <= now)
        return RefusalReason::DeadlinePassed;
    if (!m_upstreams.hasUsable())
        return RefusalReason::NoUpstream;
    if (m_upstreams.freeSlots(now) > m_queue.size())
        return std::nullopt;
    const auto wait = m_queue.predictedWait(pending, m_upstreams.usableSlots(now), now);
    const auto end = now + wait + m_queue.pessimisticServiceTime(pending.policy.service);
    if (end > pending.request.deadline)
        return RefusalReason::DeadlineUnreachable;
    return std::nullopt;
}

auto DispatchPool::expire(DispatchEffects& effects, Core::Instant now) -> void
{
    for (auto& pending : m_queue.popExpired(now))
        effects.rejections.push_back({ std::move(pending), RefusalReason::DeadlinePassed });
}

auto DispatchPool::fillSlots(DispatchEffects& effects, Core::Instant now) -> void
{
    expire(effects, now);
    while (m_upstreams.freeSlots(now) > 0) {
        auto pending = m_queue.pop(lowestRankToStart(now), now);
        if (!pending)
            break;
        if (now + m_queue.pessimisticServiceTime(pending->policy.service) > pending->request.deadline) {
            effects.rejections.push_back({ std::move(pending), RefusalReason::DeadlineUnreachable });
            continue;
        }
        const auto upstream = m_upstreams.acquire(pending->tried, now);
        pending->tried.push_back(upstream->id);
        ++pending->attempts;
        if (pending->policy.rank == Core::Rank::Urgent)
            m_urgentReserve.begin();
        const auto deadline = attemptDeadline(*pending, now);
        effects.assignments.push_back({ std::move(pending), *upstream, deadline });
    }
    effects.wakeAt = m_queue.earliestDeadline();
    const auto pauseEnd = m_upstreams.nextPauseEnd(now);
    if (effects.wakeAt && pauseEnd && *pauseEnd < *effects.wakeAt)
        effects.wakeAt = pauseEnd;
}

auto DispatchPool::lowestRankToStart(Core::Instant now) const -> Core::Rank
{
    return m_upstreams.freeSlots(now) > m_urgentReserve.slots(now) ? Core::Rank::Deferrable : Core::Rank::Normal;
}

auto DispatchPool::attemptDeadline(const PendingRequest& pending, Core::Instant now) const -> Core::Instant
{
    const auto mean = m_queue.meanServiceTime(pending.policy.service);
    if (!pending.policy.isIdempotent || mean == Core::Duration::zero())
        return pending.request.deadline;
    const auto allowed = std::max(
        mean * attemptTimeoutServiceTimes, Core::Duration(pending.policy.targetLatency * attemptTimeoutTargets));
    return std::min(pending.request.deadline, now + allowed);
}

} // namespace Dispatch
