#include "forwarding/answerbody.h"

namespace Forwarding {

using Ports::ExchangeOutcome;

AnswerBody::AnswerBody(std::shared_ptr<Ports::BodyStream> source, const Ports::Clock& clock, EndCallback endCallback)
    : m_source(std::move(source))
    , m_clock(clock)
    , m_endCallback(std::move(endCallback))
    , m_waitsSince(clock.now())
{
}

auto AnswerBody::read(PartCallback callback) -> void
{
    m_readerTime = m_readerTime.load() + (m_clock.now() - m_waitsSince);
    m_source->read([self = shared_from_this(), callback = std::move(callback)](Core::Result<std::string> part) {
        self->m_waitsSince = self->m_clock.now();
        if (!part)
            self->end(self->outcomeOf(part.error()), part.error().message);
        else if (part->empty())
            self->end(ExchangeOutcome::Answered, {});
        callback(std::move(part));
    });
}

auto AnswerBody::cancel() -> void
{
    m_source->cancel();
    end(ExchangeOutcome::Cancelled, "the body was cancelled");
}

auto AnswerBody::outcomeOf(const Core::Error& error) const -> ExchangeOutcome
{
    if (m_readerTime.load() >= slowReaderTime)
        return ExchangeOutcome::Cancelled;
    switch (error.kind) {
    case Core::ErrorKind::Timeout:
        return ExchangeOutcome::TimedOut;
    case Core::ErrorKind::InvalidMessage:
        return ExchangeOutcome::Invalid;
    default:
        return ExchangeOutcome::Lost;
    }
}

auto AnswerBody::end(ExchangeOutcome outcome, std::string detail) -> void
{
    if (!m_hasEnded.exchange(true))
        m_endCallback({ outcome, std::move(detail), m_readerTime });
}

} // namespace Forwarding
