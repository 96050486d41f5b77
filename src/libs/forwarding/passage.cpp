#include "forwarding/passage.h"

#include "core/invariant.h"

#include <algorithm>

namespace Forwarding {

namespace {

    using Core::RefusalReason;
    using Core::RunOutcome;
    using Ports::ExchangeOutcome;

    constexpr Core::Millis leastRetryAfter { 100 };
    /// Part of the caller's time that may pass before it comes back.
    constexpr int retryAfterDivisor = 3;
    /// Connections that could not be opened before a request is given up.
    constexpr std::size_t maximumAttempts = 4;
    constexpr Core::Millis patienceWithoutDeadline { 30'000 };

    /// The upstream may have run the request.
    auto leavesOutcomeOpen(ExchangeOutcome outcome) -> bool
    {
        return outcome == ExchangeOutcome::Lost || outcome == ExchangeOutcome::TimedOut
            || outcome == ExchangeOutcome::Invalid || outcome == ExchangeOutcome::Cancelled;
    }

    auto describeNoChoice(const std::string& problem, const NoChoice& noChoice) -> std::string
    {
        return "the " + std::to_string(noChoice.candidates) + " upstreams weighed " + problem + "; the least wait is "
            + std::to_string(std::chrono::duration_cast<Core::Millis>(noChoice.wait).count()) + " ms";
    }

} // namespace

Passage::Passage(Forwarder& forwarder, ForwardRequest request, ForwardCallback callback)
    : m_forwarder(forwarder)
    , m_environment(forwarder.m_environment)
    , m_request(std::move(request))
    , m_callback(std::move(callback))
    , m_fingerprint(fingerprintOf(m_request))
    , m_account(m_request, m_environment.events, m_environment.metrics)
    , m_arrivedAt(m_environment.clock.now())
{
}

auto Passage::start() -> void
{
    if (!findRoute())
        return;
    m_account.recordStart(m_route, m_service, m_configuration->version);
    setDeadline(m_arrivedAt);
    if (m_deadline <= m_arrivedAt) {
        refuse(RefusalReason::DeadlinePassed, "no time is left", {});
        return;
    }
    if (m_forwarder.m_crashGuard.isRefused(m_fingerprint)) {
        refuse(RefusalReason::RequestQuarantined, "the request has crashed upstreams", {});
        return;
    }
    m_desk->retries.recordRequest(m_arrivedAt);
    {
        const std::lock_guard lock(m_mutex);
        // Keeps the request alive until it has its reply, whatever becomes of its exchanges.
        m_deadlineTimer = m_environment.scheduler.after(
            m_deadline - m_arrivedAt, [self = shared_from_this()] { self->onDeadline(); });
    }
    send();
}

auto Passage::findRoute() -> bool
{
    m_configuration = m_forwarder.configuration();
    if (!m_configuration) {
        refuse(RefusalReason::NotConfigured, "no configuration is known yet", leastRetryAfter);
        return false;
    }
    m_route = m_configuration->routes.find(m_request.host, m_request.path);
    if (!m_route) {
        refuse(RefusalReason::UnknownService, "no route matches", {});
        return false;
    }
    m_service = m_forwarder.m_turns.next(*m_route);
    m_desk = m_forwarder.deskOf(m_service);
    return true;
}

auto Passage::setDeadline(Core::Instant now) -> void
{
    const auto patience = m_request.patience.value_or(patienceWithoutDeadline);
    m_deadline = now + std::min<Core::Duration>(patience, m_route->timeout);
    m_deadline = std::min(m_deadline, m_forwarder.m_end.load());
}

auto Passage::send() -> void
{
    const auto now = m_environment.clock.now();
    ChoiceQuery query;
    query.request = m_request.id;
    if (m_route->keepsObjects)
        query.object = m_request.object;
    query.homes = &m_route->homes;
    query.tried = &m_tried;
    query.timeLeft = m_deadline - now;
    query.targetLatency = m_route->targetLatency;
    query.priority = m_route->priority;
    const auto choice = m_desk->pool.choose(query, now);
    if (choice)
        startExchange(*choice, now);
    else
        refuseChoice(choice.error());
}

auto Passage::openAttempt(const Choice& choice, Core::Instant now) -> std::optional<std::size_t>
{
    const std::lock_guard lock(m_mutex);
    if (m_isClosed)
        return std::nullopt;
    Core::invariant(m_route->isIdempotent || !m_mayHaveRun, "forwarding.runs-once");
    m_attempts.push_back({ choice, now, nullptr, false });
    m_tried.push_back(choice.target.id);
    ++m_sends;
    return m_attempts.size() - 1;
}

auto Passage::startExchange(const Choice& choice, Core::Instant now) -> void
{
    const auto attempt = openAttempt(choice, now);
    if (!attempt) {
        releaseChoice(choice, now);
        return;
    }
    const auto index = *attempt;
    const auto self = shared_from_this();
    Ports::ExchangeCall call { choice.target, m_request.id, m_request.message, m_deadline - now,
        [desk = m_desk, target = choice.target] { desk->pool.recordEndedConnection(target); } };
    auto exchange = m_environment.exchanges.start(
        std::move(call), [self, index](const Ports::ExchangeResult& result) { self->onResult(index, result); });
    bool isDone = false;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_attempts[index].hasEnded)
            m_attempts[index].exchange = exchange;
        isDone = m_isDone;
        if (!isDone && m_route->isIdempotent && m_sends < m_route->attempts) {
            m_slowTimer = m_environment.scheduler.after(m_desk->pool.silenceLimit(), [weak = weak_from_this(), index] {
                if (const auto passage = weak.lock())
                    passage->onSlow(index);
            });
        }
    }
    if (isDone)
        exchange->cancel();
}

auto Passage::releaseChoice(const Choice& choice, Core::Instant now) -> void
{
    ExchangeReport report;
    report.target = choice.target;
    report.outcome = ExchangeOutcome::Cancelled;
    m_desk->pool.end(report, now);
}

auto Passage::onResult(std::size_t index, const Ports::ExchangeResult& result) -> void
{
    const auto now = m_environment.clock.now();
    bool isDone = false;
    bool isLast = true;
    Attempt attempt;
    {
        const std::lock_guard lock(m_mutex);
        m_attempts[index].hasEnded = true;
        attempt = m_attempts[index];
        // The exchange may hold this request.
        m_attempts[index].exchange.reset();
        isDone = m_isDone;
        if (result.outcome == ExchangeOutcome::NotSent)
            --m_sends;
        if (leavesOutcomeOpen(result.outcome))
            m_mayHaveRun = true;
        isLast = std::all_of(m_attempts.begin(), m_attempts.end(), [](const Attempt& one) { return one.hasEnded; });
    }
    reportEnd(attempt, result, now);
    if (isDone)
        return;
    if (result.outcome == ExchangeOutcome::Answered)
        finish(result.answer);
    else if (isLast)
        repeatOrGiveUp(result);
}

auto Passage::reportEnd(const Attempt& attempt, const Ports::ExchangeResult& result, Core::Instant now) -> void
{
    ExchangeReport report;
    report.target = attempt.choice.target;
    if (m_route->keepsObjects)
        report.object = m_request.object;
    report.outcome = result.outcome;
    report.isUpstreamError = result.isUpstreamError;
    report.reusedConnection = result.reusedConnection;
    report.load = result.load;
    report.duration = now - attempt.startedAt;
    report.familiarity = attempt.choice.familiarity;
    m_desk->pool.end(report, now);
    m_account.recordExchange(attempt.choice, result, report.duration);
    if (result.outcome == ExchangeOutcome::Answered) {
        m_forwarder.m_crashGuard.recordAnswer(m_fingerprint);
        return;
    }
    if (result.outcome == ExchangeOutcome::Lost)
        m_forwarder.m_crashGuard.recordLoss(m_fingerprint, attempt.choice.target, m_desk->pool.healthPath());
}

auto Passage::onSlow(std::size_t index) -> void
{
    Attempt attempt;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isDone || m_attempts[index].hasEnded)
            return;
        attempt = m_attempts[index];
    }
    if (attempt.exchange && m_desk->pool.isSilent(attempt.choice.target, m_environment.clock.now()))
        attempt.exchange->cancel();
}

auto Passage::mayRepeat(Core::Instant now) -> bool
{
    if (now >= m_deadline || m_sends >= m_route->attempts || m_attempts.size() >= maximumAttempts)
        return false;
    return m_desk->retries.tryTake(m_forwarder.retryAllowance(), now);
}

auto Passage::repeatOrGiveUp(const Ports::ExchangeResult& result) -> void
{
    const bool isSafe = (m_route->isIdempotent || !m_mayHaveRun) && !m_forwarder.m_crashGuard.isRefused(m_fingerprint);
    if (isSafe && mayRepeat(m_environment.clock.now())) {
        send();
        return;
    }
    if (result.outcome == ExchangeOutcome::TimedOut)
        refuse(RefusalReason::UpstreamTimeout, "the time has passed", {});
    else if (m_mayHaveRun)
        refuse(RefusalReason::UpstreamFailed, "the upstream's answer was lost: " + result.detail, {});
    else
        refuse(RefusalReason::Overloaded, "the upstreams took no request: " + result.detail, leastRetryAfter);
}

auto Passage::refuseChoice(const NoChoice& noChoice) -> void
{
    switch (noChoice.reason) {
    case NoChoiceReason::NoUpstream:
        refuse(RefusalReason::NoUpstream, "the service has no usable upstream", leastRetryAfter);
        return;
    case NoChoiceReason::Busy:
        refuse(RefusalReason::Overloaded, describeNoChoice("are full", noChoice), noChoice.wait);
        return;
    case NoChoiceReason::DeadlineUnreachable:
        refuse(RefusalReason::DeadlineUnreachable, describeNoChoice("cannot answer in time", noChoice), noChoice.wait);
        return;
    }
}

auto Passage::retryAfter(Core::Duration wait) const -> Core::Duration
{
    // Callers come back spread over as much time again, and never too late to be served.
    const auto least = std::max<Core::Duration>(wait, leastRetryAfter);
    const auto spread = static_cast<Core::Duration::rep>(m_environment.random.next() % 1024) * least / 1024;
    const auto most = m_request.patience.value_or(patienceWithoutDeadline) / retryAfterDivisor;
    return std::min(least + spread, most);
}

auto Passage::refuse(RefusalReason reason, std::string message, Core::Duration wait) -> void
{
    ForwardRefusal refusal;
    refusal.outcome = m_mayHaveRun ? RunOutcome::Unknown : RunOutcome::NotRun;
    Core::invariant(refusal.outcome != RunOutcome::NotRun || !hasOpenExchange(), "forwarding.not-run-is-true");
    refusal.reason = m_mayHaveRun && reason != RefusalReason::UpstreamTimeout ? RefusalReason::UpstreamFailed : reason;
    refusal.message = std::move(message);
    if (wait.count() > 0)
        refusal.retryAfter = retryAfter(wait);
    finish(std::move(refusal));
}

auto Passage::hasOpenExchange() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_attempts.begin(), m_attempts.end(), [](const Attempt& attempt) { return !attempt.hasEnded; });
}

auto Passage::onDeadline() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isDone)
            return;
        m_isClosed = true;
        // What an upstream still works on may run to its end.
        if (std::any_of(m_attempts.begin(), m_attempts.end(), [](const Attempt& attempt) { return !attempt.hasEnded; }))
            m_mayHaveRun = true;
    }
    refuse(m_mayHaveRun ? RefusalReason::UpstreamTimeout : RefusalReason::DeadlinePassed, "the time has passed", {});
    cancelExchanges();
}

auto Passage::abandon() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_isClosed = true;
    }
    ForwardRefusal gone;
    gone.outcome = RunOutcome::Unknown;
    gone.reason = RefusalReason::DeadlinePassed;
    gone.message = "the caller has gone";
    finish(std::move(gone));
    cancelExchanges();
}

auto Passage::finish(ForwardReply reply) -> void
{
    ForwardCallback callback;
    // The timer may own the last reference to this request.
    const auto self = shared_from_this();
    std::unique_ptr<Ports::Timer> deadlineTimer;
    std::optional<Choice> last;
    std::size_t attempts = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isDone)
            return;
        m_isDone = true;
        callback = std::move(m_callback);
        deadlineTimer = std::move(m_deadlineTimer);
        m_slowTimer.reset();
        attempts = m_attempts.size();
        if (attempts > 0)
            last = m_attempts.back().choice;
    }
    m_account.recordEnd(reply, { last, attempts, m_environment.clock.now() - m_arrivedAt });
    callback(std::move(reply));
}

auto Passage::cancelExchanges() -> void
{
    std::vector<std::shared_ptr<Ports::Exchange>> exchanges;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& attempt : m_attempts) {
            if (!attempt.hasEnded && attempt.exchange)
                exchanges.push_back(attempt.exchange);
        }
    }
    for (const auto& exchange : exchanges)
        exchange->cancel();
}

} // namespace Forwarding
