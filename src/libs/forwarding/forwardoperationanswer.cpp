#include "forwarding/forwardoperation.h"
#include "forwarding/refusals.h"

namespace Forwarding {

using Core::RefusalReason;

auto ForwardOperation::reserveBuffers() -> bool
{
    const auto& settings = m_environment.buffers;
    if (!settings.account)
        return true;
    const auto size = m_forwarder.m_answerSizes.usual(m_route->id).value_or(settings.perAnswer);
    const Core::BufferHolder holder(m_organisation ? m_organisation->id.value() : std::string());
    auto reservation = settings.account->reserve(size, holder);
    if (!reservation) {
        refuse(RefusalReason::Overloaded, "the buffers for answers are full", minimumRetryAfter);
        return false;
    }
    const std::lock_guard lock(m_mutex);
    if (!m_isDone)
        m_buffers.emplace(std::move(*reservation));
    return true;
}

auto ForwardOperation::recordAnswerSize(Core::Bytes size) -> void
{
    if (!m_environment.buffers.account)
        return;
    m_forwarder.m_answerSizes.record(m_route->id, size);
    const std::lock_guard lock(m_mutex);
    if (m_buffers)
        m_buffers->resize(size);
}

auto ForwardOperation::onHead(std::size_t index, const Ports::ExchangeResult& result) -> void
{
    const auto now = m_environment.clock.now();
    ExchangeReport head;
    {
        const std::lock_guard lock(m_mutex);
        auto& attempt = m_attempts[index];
        attempt.isStreaming = true;
        attempt.isUpstreamError = result.isUpstreamError;
        head.target = attempt.choice.target;
        head.exchange = attempt.choice.exchange;
    }
    head.load = result.load;
    head.signals = result.signals;
    m_recorder.recordSignals(head.target, m_context->pool.recordHead(head, now));
    auto body = std::make_shared<AnswerBody>(
        result.body, m_environment.clock, [weak = weak_from_this(), index](const BodyEnd& end) {
            if (const auto operation = weak.lock())
                operation->onBodyEnd(index, end);
        });
    recordAnswerSize(m_environment.buffers.perAnswer);
    if (finish(StreamedAnswer { result.answer, std::move(body) })) {
        cancelExchanges();
        return;
    }
    result.body->cancel();
    endStreaming(index, {});
}

auto ForwardOperation::onBodyEnd(std::size_t index, const BodyEnd& end) -> void
{
    // The timer may own the last reference to this operation.
    const auto self = shared_from_this();
    std::unique_ptr<Ports::Timer> deadlineTimer;
    std::shared_ptr<Ports::BodyStream> body;
    {
        const std::lock_guard lock(m_mutex);
        deadlineTimer = std::move(m_deadlineTimer);
        body = std::move(m_body);
        m_buffers.reset();
    }
    endStreaming(index, end);
}

auto ForwardOperation::endStreaming(std::size_t index, const BodyEnd& end) -> void
{
    Attempt attempt;
    {
        const std::lock_guard lock(m_mutex);
        m_attempts[index].hasEnded = true;
        attempt = m_attempts[index];
        m_attempts[index].exchange.reset();
    }
    Ports::ExchangeResult result;
    result.outcome = end.outcome;
    result.isUpstreamError = attempt.isUpstreamError;
    result.detail = end.detail;
    reportEnd(attempt, result, m_environment.clock.now(), end.readerTime);
    m_context->waitingRoom->wake();
}

auto ForwardOperation::cancelBody() -> void
{
    std::shared_ptr<Ports::BodyStream> body;
    {
        const std::lock_guard lock(m_mutex);
        body = m_body;
    }
    if (body)
        body->cancel();
}

} // namespace Forwarding
