#pragma once

#include "ports/clock.h"
#include "ports/exchangeclient.h"

#include <atomic>

namespace Forwarding {

/// How the body of a large answer ended.
struct BodyEnd {
    /// Answered if it is whole. Cancelled if that says nothing of the upstream.
    Ports::ExchangeOutcome outcome = Ports::ExchangeOutcome::Cancelled;
    std::string detail;
    /// Time for which the body waited for its reader.
    Core::Duration readerTime {};
};

/// Body of a large answer on its way to the caller. Tells from its parts how the exchange with the upstream ends.
class AnswerBody : public Ports::BodyStream, public std::enable_shared_from_this<AnswerBody> {
public:
    using EndCallback = std::function<void(const BodyEnd&)>;

    /// A reader that has taken longer than this may be why the upstream gave up.
    static constexpr Core::Millis slowReaderTime { 1000 };

    /// Calls back once, on any thread.
    AnswerBody(std::shared_ptr<Ports::BodyStream> source, const Ports::Clock& clock, EndCallback endCallback);

    auto read(PartCallback callback) -> void override;
    auto cancel() -> void override;

private:
    [[nodiscard]] auto outcomeOf(const Core::Error& error) const -> Ports::ExchangeOutcome;
    auto end(Ports::ExchangeOutcome outcome, std::string detail) -> void;

    const std::shared_ptr<Ports::BodyStream> m_source;
    const Ports::Clock& m_clock;
    const EndCallback m_endCallback;
    std::atomic<bool> m_hasEnded { false };
    /// Instant from which on the body waits for its reader.
    Core::Instant m_waitsSince;
    std::atomic<Core::Duration> m_readerTime { Core::Duration(0) };
};

} // namespace Forwarding
