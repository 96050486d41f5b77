#include "forwarding/forwardoperation.h"

#include "core/invariant.h"
#include "forwarding/refusals.h"

#include <algorithm>

namespace Forwarding {

namespace {

    using Core::RefusalReason;
    using Core::RunOutcome;

    constexpr Core::Millis defaultCallerTimeout { 30'000 };

    auto isNotRun(const ForwardReply& reply) -> bool
    {
        const auto* refusal = std::get_if<ForwardRefusal>(&reply);
        return refusal != nullptr && refusal->outcome == RunOutcome::NotRun;
    }

} // namespace

ForwardOperation::ForwardOperation(Forwarder& forwarder, ForwardRequest request, ForwardCallback callback)
    : m_forwarder(forwarder)
    , m_environment(forwarder.m_environment)
    , m_request(std::move(request))
    , m_callback(std::move(callback))
    , m_fingerprint(fingerprintOf(m_request))
    , m_recorder(m_request, m_environment.events, m_environment.metrics)
    , m_arrivedAt(m_environment.clock.now())
{
}

auto ForwardOperation::start() -> void
{
    if (!findRoute() || !identifyCaller())
        return;
    restrictRegions();
    m_recorder.recordStart(m_route, m_service, m_configuration->version, m_organisation);
    setDeadline();
    if (m_deadline <= m_arrivedAt) {
        refuse(RefusalReason::DeadlinePassed, "the deadline has already passed", {});
        return;
    }
    if (m_deadline > m_forwarder.m_shutdownDeadline.load()) {
        refuse(RefusalReason::ShuttingDown, "this VM stops before the request's deadline", minimumRetryAfter);
        return;
    }
    if (m_forwarder.m_crashGuard.isQuarantined(m_fingerprint)) {
        refuse(RefusalReason::RequestQuarantined, "the request is quarantined because it crashed upstreams", {});
        return;
    }
    m_context->retryBudget.recordRequest(m_arrivedAt);
    if (m_request.callerTimeout)
        m_elapsed = m_context->waitingRoom->recordArrival(m_route->id, *m_request.callerTimeout);
    {
        const std::lock_guard lock(m_mutex);
        // The timer owns a reference that keeps the operation alive until it has replied, regardless of its exchanges.
        m_deadlineTimer = m_environment.scheduler.after(
            m_deadline - m_arrivedAt, [self = shared_from_this()] { self->onDeadline(); });
    }
    if (reserveBuffers())
        acquirePermit();
}

auto ForwardOperation::identifyCaller() -> bool
{
    const auto& organisations = m_configuration->organisations;
    if (organisations.isEmpty())
        return true;
    if (m_request.apiKey)
        m_organisation = organisations.find(*m_request.apiKey);
    if (m_organisation || m_route->isAnonymous)
        return true;
    refuse(RefusalReason::UnknownApiKey,
        m_request.apiKey ? "the API key belongs to no organisation" : "the route requires an API key", {});
    return false;
}

auto ForwardOperation::restrictRegions() -> void
{
    const auto& routeHomes = m_route->homes;
    if (!m_organisation || m_organisation->homes.empty()) {
        if (!routeHomes.empty())
            m_regions = routeHomes;
        return;
    }
    m_regions = m_organisation->homes;
    if (routeHomes.empty())
        return;
    std::erase_if(*m_regions, [&routeHomes](const Core::RegionId& region) {
        return std::find(routeHomes.begin(), routeHomes.end(), region) == routeHomes.end();
    });
}

auto ForwardOperation::urgency() const -> Admission::Urgency
{
    const auto route = m_route->priority;
    return { m_organisation ? m_organisation->priority.value_or(route) : route, route };
}

auto ForwardOperation::verifiedCaller() const -> std::optional<Ports::VerifiedCaller>
{
    if (m_configuration->organisations.isEmpty())
        return std::nullopt;
    if (!m_organisation)
        return Ports::VerifiedCaller {};
    return Ports::VerifiedCaller { m_organisation->id };
}

auto ForwardOperation::acquirePermit() -> void
{
    if (!m_organisation || !m_organisation->quota) {
        send();
        return;
    }
    m_environment.quotas->acquire(m_organisation, m_deadline,
        [self = shared_from_this()](const Quotas::QuotaResult& result) { self->onPermit(result); });
}

auto ForwardOperation::onPermit(const Quotas::QuotaResult& result) -> void
{
    if (!result) {
        refuse(RefusalReason::QuotaExceeded,
            "the quota of organisation '" + m_organisation->id.value() + "' is used up: " + result.error().detail,
            result.error().retryAfter);
        return;
    }
    bool isDone = false;
    {
        const std::lock_guard lock(m_mutex);
        isDone = m_isDone;
        if (!isDone)
            m_permit = *result;
    }
    if (isDone)
        m_environment.quotas->giveBack(*result);
    else
        send();
}

auto ForwardOperation::findRoute() -> bool
{
    m_configuration = m_forwarder.configuration();
    if (!m_configuration) {
        refuse(RefusalReason::NotConfigured, "no configuration has been received yet", minimumRetryAfter);
        return false;
    }
    m_route = m_configuration->routes.find(m_request.host, m_request.path);
    if (!m_route) {
        refuse(RefusalReason::UnknownService, "no route matches the host and path", {});
        return false;
    }
    m_service = m_forwarder.m_roundRobin.next(*m_route);
    m_context = m_forwarder.contextFor(m_service);
    return true;
}

auto ForwardOperation::setDeadline() -> void
{
    const auto callerTimeout = m_request.callerTimeout.value_or(defaultCallerTimeout);
    m_deadline = m_arrivedAt + std::min<Core::Duration>(callerTimeout, m_route->timeout);
}

auto ForwardOperation::send() -> void
{
    if (hasCallerLeft()) {
        refuse(RefusalReason::CallerDisconnected, callerDisconnected, {});
        return;
    }
    const auto now = m_environment.clock.now();
    // Those that wait go first: for them the slot was kept.
    m_context->waitingRoom->wake();
    const auto choice = m_context->pool.choose(makeQuery(m_tried, now), now);
    if (choice)
        startExchange(*choice, now);
    else
        waitOrRefuse(choice.error(), now);
}

auto ForwardOperation::makeQuery(const std::vector<Core::UpstreamId>& tried, Core::Instant now) const -> ChoiceQuery
{
    ChoiceQuery query;
    query.request = m_request.id;
    query.route = m_route->id;
    if (m_route->hasObjectAffinity)
        query.object = m_request.object;
    query.homes = m_regions ? &*m_regions : nullptr;
    query.tried = &tried;
    query.timeLeft = m_deadline - now;
    query.targetLatency = m_route->targetLatency;
    query.urgency = urgency();
    return query;
}

auto ForwardOperation::timeLeft() const -> Core::Duration
{
    const auto callerTimeout = m_request.callerTimeout.value_or(defaultCallerTimeout);
    return std::max<Core::Duration>(callerTimeout - (m_environment.clock.now() - m_arrivedAt), {});
}

auto ForwardOperation::retryAfter(Core::Duration wait) const -> Core::Duration
{
    return retryDelay(wait, timeLeft(), m_environment.random);
}

auto ForwardOperation::refuse(RefusalReason reason, std::string message, Core::Duration wait) -> void
{
    finishRefused(reason, std::move(message), wait.count() > 0 ? retryAfter(wait) : Core::Duration(0));
}

auto ForwardOperation::finishRefused(RefusalReason reason, std::string message, Core::Duration retryAfter) -> void
{
    ForwardRefusal refusal;
    refusal.outcome = m_mayHaveRun ? RunOutcome::Unknown : RunOutcome::NotRun;
    Core::invariant(refusal.outcome != RunOutcome::NotRun || !hasOpenExchange(), "forwarding.not-run-is-true");
    const bool isReasonKept = reason == RefusalReason::UpstreamTimeout || reason == RefusalReason::CallerDisconnected;
    refusal.reason = m_mayHaveRun && !isReasonKept ? RefusalReason::UpstreamFailed : reason;
    refusal.message = std::move(message);
    refusal.retryAfter = retryAfter;
    finish(std::move(refusal));
}

auto ForwardOperation::onDeadline() -> void
{
    bool isDone = false;
    {
        const std::lock_guard lock(m_mutex);
        isDone = m_isDone;
        m_isClosed = true;
        // A request that is still in flight at an upstream may run to completion.
        if (std::any_of(m_attempts.begin(), m_attempts.end(), [](const Attempt& attempt) { return !attempt.hasEnded; }))
            m_mayHaveRun = true;
    }
    if (!isDone) {
        refuse(
            m_mayHaveRun ? RefusalReason::UpstreamTimeout : RefusalReason::DeadlinePassed, "the time has passed", {});
        cancelExchanges();
    }
    cancelBody();
}

auto ForwardOperation::abandon() -> void
{
    ForwardRefusal abandoned;
    {
        const std::lock_guard lock(m_mutex);
        m_isClosed = true;
        abandoned.outcome = m_attempts.empty() ? RunOutcome::NotRun : RunOutcome::Unknown;
    }
    abandoned.reason = RefusalReason::CallerDisconnected;
    abandoned.message = callerDisconnected;
    finish(std::move(abandoned));
    cancelExchanges();
    cancelBody();
}

auto ForwardOperation::finish(ForwardReply reply) -> bool
{
    ForwardCallback callback;
    // The timer may own the last reference to this operation.
    const auto self = shared_from_this();
    std::unique_ptr<Ports::Timer> deadlineTimer;
    std::optional<Choice> last;
    std::size_t attempts = 0;
    std::optional<Quotas::QuotaPermit> unusedPermit;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isDone)
            return false;
        m_isDone = true;
        m_hasAnswer = !std::holds_alternative<ForwardRefusal>(reply);
        callback = std::move(m_callback);
        if (const auto* streamed = std::get_if<StreamedAnswer>(&reply))
            m_body = streamed->body;
        else
            deadlineTimer = std::move(m_deadlineTimer);
        if (!m_body)
            m_buffers.reset();
        m_responseTimer.reset();
        attempts = m_attempts.size();
        if (attempts > 0)
            last = m_attempts.back().choice;
        if (isNotRun(reply))
            unusedPermit = m_permit;
    }
    if (unusedPermit)
        m_environment.quotas->giveBack(*unusedPermit);
    if (m_context)
        m_context->waitingRoom->leave(*this);
    m_recorder.recordEnd(reply, { last, attempts, m_environment.clock.now() - m_arrivedAt });
    callback(std::move(reply));
    return true;
}

} // namespace Forwarding
