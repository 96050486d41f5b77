#include "forwarding/forwardoperation.h"
#include "forwarding/refusals.h"

#include <algorithm>

namespace Forwarding {

using Core::RefusalReason;

auto ForwardOperation::estimateDemand(Core::Duration work) -> void
{
    m_demand.urgency = urgency();
    if (m_organisation)
        m_demand.organisation = m_organisation->id;
    m_demand.work = work;
    m_demand.askedAt = m_arrivedAt - m_elapsed;
    m_demand.inTimeUntil = m_demand.askedAt + m_route->targetLatency - work;
    // Nobody is held for an answer that would be late, nor for so long that nothing else can be done afterwards.
    const auto halfTime = m_arrivedAt + (m_deadline - m_arrivedAt) / 2;
    m_demand.servableUntil = std::min({ m_deadline - work, halfTime, m_demand.inTimeUntil });
    const std::lock_guard lock(m_mutex);
    if (m_permit)
        m_demand.servableUntil = std::min(m_demand.servableUntil, m_permit->returnableUntil);
}

auto ForwardOperation::waitOrRefuse(const ChoiceFailure& failure, Core::Instant now) -> void
{
    m_lastFailure = failure;
    estimateDemand(failure.work);
    // If all upstreams are excluded for another reason than a pause, waiting for them here helps nobody.
    const bool isRoomExpected = failure.reason == ChoiceFailureReason::Busy || failure.wait.count() > 0;
    const bool isServable = isRoomExpected && failure.roomExpected.count() > 0
        && now + failure.roomExpected < m_demand.servableUntil && now + failure.wait < m_deadline - failure.work;
    if (!isServable) {
        refuseChoice(failure);
        return;
    }
    m_roomExpected = failure.roomExpected;
    m_context->waitingRoom->enter(shared_from_this(), failure.roomExpected);
}

auto ForwardOperation::hasLeft() const -> bool
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isDone || m_isClosed)
            return true;
    }
    return hasCallerLeft();
}

auto ForwardOperation::tryStart() -> bool
{
    if (hasLeft()) {
        turnAway(Admission::TurnAwayReason::NoRoomInTime);
        return true;
    }
    const auto now = m_environment.clock.now();
    const auto choice = m_context->pool.choose(makeQuery(m_tried, now), now);
    if (choice) {
        startExchange(*choice, now);
        return true;
    }
    m_lastFailure = choice.error();
    m_roomExpected = choice.error().roomExpected;
    if (choice.error().reason != ChoiceFailureReason::DeadlineUnreachable)
        return false;
    refuseChoice(choice.error());
    return true;
}

auto ForwardOperation::turnAway(Admission::TurnAwayReason) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isDone || m_isClosed)
            return;
    }
    if (hasCallerLeft())
        refuse(RefusalReason::CallerDisconnected, callerDisconnected, {});
    else
        refuseChoice(m_lastFailure);
}

auto ForwardOperation::refuseChoice(const ChoiceFailure& failure) -> void
{
    auto cause = refusalCauseOf(failure);
    finishRefused(cause.reason, std::move(cause.message), placeReturn(failure));
}

auto ForwardOperation::placeReturn(const ChoiceFailure& failure) -> Core::Duration
{
    constexpr std::uint64_t jitterSteps = 1024;
    estimateDemand(failure.work);
    Admission::ReturnRequest request;
    request.wait = std::max<Core::Duration>(failure.roomExpected, minimumRetryAfter);
    request.timeLeft = timeLeft();
    request.work = failure.work;
    request.inTimeLeft = m_demand.inTimeUntil - m_environment.clock.now();
    request.isReturn = m_elapsed.count() > 0;
    const auto jitter = static_cast<double>(m_environment.random.next() % jitterSteps) / jitterSteps;
    return m_context->waitingRoom->placeReturn(request, jitter).value_or(Core::Duration(0));
}

} // namespace Forwarding
