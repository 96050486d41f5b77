#include "steering/relayreceiver.h"

namespace Steering {

namespace {

    constexpr std::size_t maximumAttemptsPerShard = 4096;
    constexpr Core::Millis sweepInterval { 1000 };
    /// Time after the deadline for which duplicates of an attempt are detected.
    constexpr Core::Millis duplicateWindow { 30'000 };

    auto notRun(Core::RefusalReason reason, std::string message, std::string remedy) -> Core::Refusal
    {
        return { Core::RunOutcome::NotRun, reason, std::move(message), std::move(remedy), {} };
    }

} // namespace

RelayReceiver::RelayReceiver(Dependencies dependencies, Core::FailureDomainId failureDomain)
    : m_dependencies(dependencies)
    , m_failureDomain(std::move(failureDomain))
{
}

auto RelayReceiver::accept(RelayCall call, Core::ReplyCallback callback) -> void
{
    call.request.deadline = m_dependencies.clock.now() + call.timeLeft;
    const auto configuration = m_dependencies.configuration.current();
    const auto* policy = configuration->find(call.request.service);
    if (const auto refusal = refusalFor(call, policy)) {
        callback(*refusal);
        return;
    }
    const auto hasCredit = call.credit.has_value();
    const auto service = call.request.service;
    m_dependencies.local.dispatch(std::move(call.request), *policy, std::move(callback));
    if (hasCredit)
        m_dependencies.credits.markDispatched(service);
}

auto RelayReceiver::refusalFor(const RelayCall& call, const Configuration::ServicePolicy* policy)
    -> std::optional<Core::Refusal>
{
    if (policy == nullptr) {
        return notRun(Core::RefusalReason::UnknownService,
            "the service is not in force at the entry VM that the request was relayed to", "try again in some seconds");
    }
    if (call.timeLeft <= Core::Duration::zero()) {
        return notRun(Core::RefusalReason::DeadlinePassed, "the deadline has passed", "send it with a later deadline");
    }
    if (!policy->isIdempotent) {
        const auto status = registerAttempt(call);
        if (status == AttemptStatus::Duplicate) {
            return Core::Refusal { Core::RunOutcome::Unknown, Core::RefusalReason::UpstreamFailed,
                "this attempt arrived before", "retry with the same idempotency key", {} };
        }
        if (status == AttemptStatus::Full)
            return notRun(Core::RefusalReason::Overloaded, "too many relayed requests are open", "try again later");
    }
    if (m_refusesNew)
        return notRun(Core::RefusalReason::ShuttingDown, "the entry VM is stopping", "try again elsewhere");
    return creditRefusal(call);
}

auto RelayReceiver::creditRefusal(const RelayCall& call) -> std::optional<Core::Refusal>
{
    auto redemption = call.source == m_failureDomain ? Redemption::Accepted : Redemption::Invalid;
    if (call.credit)
        redemption = m_dependencies.credits.redeem(*call.credit, call.source, call.request.service);
    switch (redemption) {
    case Redemption::Accepted:
        return std::nullopt;
    case Redemption::PossibleDuplicate:
        return Core::Refusal { Core::RunOutcome::Unknown, Core::RefusalReason::UpstreamFailed,
            "an earlier copy of this request may have arrived before", "retry", {} };
    case Redemption::HeadroomExhausted:
        return notRun(Core::RefusalReason::Overloaded, "the other failure domain needs its headroom for its own work",
            "try again later");
    case Redemption::Invalid:
        break;
    }
    return notRun(Core::RefusalReason::Overloaded,
        "the request came from another failure domain without a valid credit", "try again later");
}

auto RelayReceiver::registerAttempt(const RelayCall& call) -> AttemptStatus
{
    const auto now = m_dependencies.clock.now();
    return m_attempts.with(call.attempt, [&](Attempts& attempts) {
        if (now >= attempts.sweepAt) {
            std::erase_if(attempts.seen, [now](const auto& entry) { return entry.second < now; });
            attempts.sweepAt = now + sweepInterval;
        }
        if (attempts.seen.contains(call.attempt))
            return AttemptStatus::Duplicate;
        if (attempts.seen.size() >= maximumAttemptsPerShard)
            return AttemptStatus::Full;
        attempts.seen.emplace(call.attempt, call.request.deadline + duplicateWindow);
        return AttemptStatus::New;
    });
}

} // namespace Steering
