#include "forwarding/forwardoperation.h"

#include "core/invariant.h"
#include "forwarding/refusals.h"

#include <algorithm>

namespace Forwarding {

namespace {

    using Core::RefusalReason;
    using Ports::ExchangeOutcome;

    /// Upper bound on the attempts of a request, including connections that could not be opened.
    constexpr std::size_t maximumAttempts = 4;

    /// Returns true if the upstream may have run the request.
    auto isOutcomeUnknown(ExchangeOutcome outcome) -> bool
    {
        return outcome == ExchangeOutcome::Lost || outcome == ExchangeOutcome::TimedOut
            || outcome == ExchangeOutcome::Invalid || outcome == ExchangeOutcome::Cancelled;
    }

    /// Returns true if no byte of the request has reached the upstream.
    auto isUnsent(ExchangeOutcome outcome) -> bool
    {
        return outcome == ExchangeOutcome::NotSent || outcome == ExchangeOutcome::Withdrawn
            || outcome == ExchangeOutcome::OwnShortage;
    }

} // namespace

auto ForwardOperation::openAttempt(const Choice& choice, std::optional<std::size_t> hedged)
    -> std::optional<std::size_t>
{
    const std::lock_guard lock(m_mutex);
    if (m_isClosed || (hedged && (m_isDone || m_attempts[*hedged].hasEnded || !hasAttemptsLeft())))
        return std::nullopt;
    Core::invariant(m_route->isIdempotent || !m_mayHaveRun, "forwarding.runs-once");
    Core::invariant(!m_hasAnswer, "forwarding.nothing-sent-after-the-head");
    m_attempts.push_back({ choice, nullptr, false });
    m_tried.push_back(choice.target.id);
    ++m_sends;
    return m_attempts.size() - 1;
}

auto ForwardOperation::startExchange(const Choice& choice, Core::Instant now, std::optional<std::size_t> hedged) -> void
{
    const auto attempt = openAttempt(choice, hedged);
    if (!attempt) {
        releaseChoice(choice, now);
        return;
    }
    const auto index = *attempt;
    const auto self = shared_from_this();
    if (index == 0) {
        estimateDemand(choice.serviceTime);
        m_context->waitingRoom->recordStart(m_demand);
    }
    Ports::ExchangeCall call { choice.target, m_request.id, m_request.message, m_deadline - now,
        [weak = weak_from_this(), target = choice.target] {
            const auto operation = weak.lock();
            return operation && operation->isStillWanted(target);
        },
        [context = m_context, target = choice.target] { context->pool.recordClosedConnection(target); },
        verifiedCaller() };
    auto exchange = m_environment.exchanges.start(
        std::move(call), [self, index](const Ports::ExchangeResult& result) { self->onResult(index, result); });
    bool isDone = false;
    bool isStreaming = false;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_attempts[index].hasEnded)
            m_attempts[index].exchange = exchange;
        isDone = m_isDone;
        isStreaming = m_attempts[index].isStreaming;
        if (!isDone && m_route->isIdempotent && hasAttemptsLeft())
            armResponseTimer(index);
    }
    if (isDone && !isStreaming)
        exchange->cancel();
}

auto ForwardOperation::armResponseTimer(std::size_t index) -> void
{
    m_responseTimer = m_environment.scheduler.after(
        m_attempts[index].choice.exchange.responseTimeLimit, [weak = weak_from_this(), index] {
            if (const auto operation = weak.lock())
                operation->onResponseTimeout(index);
        });
}

auto ForwardOperation::isStillWanted(const Ports::UpstreamTarget& target) -> bool
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isDone || m_isClosed)
            return false;
    }
    if (hasCallerLeft()) {
        abandon();
        return false;
    }
    return m_context->pool.acceptsRequests(target, m_environment.clock.now());
}

auto ForwardOperation::releaseChoice(const Choice& choice, Core::Instant now) -> void
{
    ExchangeReport report;
    report.target = choice.target;
    report.exchange = choice.exchange;
    report.outcome = ExchangeOutcome::Cancelled;
    (void)m_context->pool.endExchange(report, now);
    m_context->waitingRoom->wake();
}

auto ForwardOperation::onResult(std::size_t index, const Ports::ExchangeResult& result) -> void
{
    if (result.body) {
        onHead(index, result);
        return;
    }
    const auto now = m_environment.clock.now();
    bool isDone = false;
    bool isLast = true;
    Attempt attempt;
    {
        const std::lock_guard lock(m_mutex);
        m_attempts[index].hasEnded = true;
        attempt = m_attempts[index];
        // The exchange may own a reference to this operation.
        m_attempts[index].exchange.reset();
        isDone = m_isDone;
        if (isUnsent(result.outcome))
            --m_sends;
        if (isOutcomeUnknown(result.outcome))
            m_mayHaveRun = true;
        isLast = std::all_of(m_attempts.begin(), m_attempts.end(), [](const Attempt& one) { return one.hasEnded; });
    }
    reportEnd(attempt, result, now);
    if (!isDone && result.outcome == ExchangeOutcome::Answered) {
        recordAnswerSize(result.size);
        finish(result.answer);
        cancelExchanges();
    } else if (!isDone && isLast) {
        retryOrRefuse(result);
    }
    m_context->waitingRoom->wake();
}

auto ForwardOperation::reportEnd(
    const Attempt& attempt, const Ports::ExchangeResult& result, Core::Instant now, Core::Duration readerTime) -> void
{
    ExchangeReport report;
    report.target = attempt.choice.target;
    report.exchange = attempt.choice.exchange;
    report.route = m_route->id;
    if (m_route->hasObjectAffinity)
        report.object = m_request.object;
    report.outcome = result.outcome;
    report.isUpstreamError = result.isUpstreamError;
    report.reusedConnection = result.reusedConnection;
    report.load = result.load;
    report.duration = now - attempt.choice.exchange.startedAt - readerTime;
    report.isBodyEnd = attempt.isStreaming;
    report.cacheState = attempt.choice.cacheState;
    report.signals = result.signals;
    m_recorder.recordSignals(report.target, m_context->pool.endExchange(report, now));
    m_recorder.recordExchange(attempt.choice, result, report.duration);
    if (result.outcome == ExchangeOutcome::Answered) {
        m_forwarder.m_crashGuard.recordAnswer(m_fingerprint);
        return;
    }
    if (result.outcome == ExchangeOutcome::Lost)
        m_forwarder.m_crashGuard.recordLoss(m_fingerprint, attempt.choice.target, m_context->pool.healthPath());
}

auto ForwardOperation::onResponseTimeout(std::size_t index) -> void
{
    Choice silent;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isDone || m_isClosed || m_attempts[index].hasEnded)
            return;
        silent = m_attempts[index].choice;
    }
    const auto now = m_environment.clock.now();
    if (m_context->pool.isUnresponsive(silent.target, now))
        hedge(index, silent, now);
}

auto ForwardOperation::hedge(std::size_t index, const Choice& silent, Core::Instant now) -> void
{
    if (m_forwarder.m_crashGuard.isQuarantined(m_fingerprint))
        return;
    std::vector<Core::UpstreamId> tried;
    {
        const std::lock_guard lock(m_mutex);
        tried = m_tried;
    }
    auto query = makeQuery(tried, now);
    query.isHedge = true;
    const auto choice = m_context->pool.choose(query, now);
    if (!choice) {
        m_recorder.recordSilence(silent, toString(choice.error().reason));
        return;
    }
    if (!m_context->retryBudget.tryTake(m_forwarder.retryAllowance(), now)) {
        releaseChoice(*choice, now);
        m_recorder.recordSilence(silent, "budget-exhausted");
        return;
    }
    m_recorder.recordSilence(silent, "sent to " + choice->target.id.value());
    startExchange(*choice, now, index);
}

auto ForwardOperation::hasAttemptsLeft() const -> bool
{
    return m_sends < m_route->attempts && m_attempts.size() < maximumAttempts;
}

auto ForwardOperation::mayRetry(ExchangeOutcome outcome, Core::Instant now) -> bool
{
    if (now >= m_deadline || !hasAttemptsLeft())
        return false;
    if (outcome == ExchangeOutcome::Withdrawn || outcome == ExchangeOutcome::OwnShortage)
        return true;
    return m_context->retryBudget.tryTake(m_forwarder.retryAllowance(), now);
}

auto ForwardOperation::retryOrRefuse(const Ports::ExchangeResult& result) -> void
{
    const bool isSafe
        = (m_route->isIdempotent || !m_mayHaveRun) && !m_forwarder.m_crashGuard.isQuarantined(m_fingerprint);
    if (isSafe && mayRetry(result.outcome, m_environment.clock.now())) {
        send();
        return;
    }
    if (result.outcome == ExchangeOutcome::TimedOut)
        refuse(RefusalReason::UpstreamTimeout, "the time has passed", {});
    else if (m_mayHaveRun)
        refuse(RefusalReason::UpstreamFailed, "the upstream's answer was lost: " + result.detail, {});
    else
        refuse(RefusalReason::Overloaded, "no upstream accepted the request: " + result.detail, minimumRetryAfter);
}

auto ForwardOperation::hasOpenExchange() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_attempts.begin(), m_attempts.end(), [](const Attempt& attempt) { return !attempt.hasEnded; });
}

auto ForwardOperation::cancelExchanges() -> void
{
    std::vector<std::shared_ptr<Ports::Exchange>> exchanges;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& attempt : m_attempts) {
            if (!attempt.hasEnded && !attempt.isStreaming && attempt.exchange)
                exchanges.push_back(attempt.exchange);
        }
    }
    for (const auto& exchange : exchanges)
        exchange->cancel();
}

} // namespace Forwarding
