#include "steering/relayreceiver.h"

namespace Steering {

namespace {

    constexpr std::size_t maximumAttemptsPerShard = 4096;
    constexpr Core::Millis sweepInterval { 1000 };
    /// Time after the deadline for which a duplicate of an attempt is still recognised.
    constexpr Core::Millis duplicateWindow { 30'000 };

    auto notRun(Core::RefusalReason reason, std::string message, std::string remedy) -> Core::Refusal
    {
        return { Core::RunOutcome::NotRun, reason, std::move(message), std::move(remedy), {} };
    }

} // namespace

RelayReceiver::RelayReceiver(Collaborators collaborators, Core::FailureDomainId failureDomain)
    : m_collaborators(collaborators)
    , m_failureDomain(std::move(failureDomain))
{
}

auto RelayReceiver::accept(RelayCall call, Core::ReplyCallback callback) -> void
{
    call.request.deadline = m_collaborators.clock.now() + call.timeLeft;
    const auto configuration = m_collaborators.configuration.current();
    const auto* policy = configuration->find(call.request.service);
    if (const auto refusal = refuse(call, policy)) {
        callback(*refusal);
        return;
    }
    const auto isOnCredit = call.credit.has_value();
    const auto service = call.request.service;
    m_collaborators.local.dispatch(std::move(call.request), *policy, std::move(callback));
    if (isOnCredit)
        m_collaborators.credits.settle(service);
}

auto RelayReceiver::refuse(const RelayCall& call, const Configuration::ServicePolicy* policy)
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
        const auto admission = admit(call);
        if (admission == Admission::Duplicate) {
            return Core::Refusal { Core::RunOutcome::Unknown, Core::RefusalReason::UpstreamFailed,
                "this attempt arrived before", "ask again with the same idempotency key", {} };
        }
        if (admission == Admission::Full)
            return notRun(Core::RefusalReason::Overloaded, "too many relayed requests are open", "try again later");
    }
    if (m_refusesNew)
        return notRun(Core::RefusalReason::ShuttingDown, "the entry VM is stopping", "try again elsewhere");
    return refuseWithoutCredit(call);
}

auto RelayReceiver::refuseWithoutCredit(const RelayCall& call) -> std::optional<Core::Refusal>
{
    auto redemption = call.source == m_failureDomain ? Redemption::Accepted : Redemption::Invalid;
    if (call.credit)
        redemption = m_collaborators.credits.redeem(*call.credit, call.source, call.request.service);
    switch (redemption) {
    case Redemption::Accepted:
        return std::nullopt;
    case Redemption::MayBeCopy:
        return Core::Refusal { Core::RunOutcome::Unknown, Core::RefusalReason::UpstreamFailed,
            "an earlier copy of this request may have arrived before", "ask again", {} };
    case Redemption::HeadroomGone:
        return notRun(Core::RefusalReason::Overloaded, "the other failure domain's own work took its headroom",
            "try again later");
    case Redemption::Invalid:
        break;
    }
    return notRun(Core::RefusalReason::Overloaded,
        "the request came from another failure domain without a valid credit", "try again later");
}

auto RelayReceiver::admit(const RelayCall& call) -> Admission
{
    const auto now = m_collaborators.clock.now();
    return m_attempts.with(call.attempt, [&](Attempts& attempts) {
        if (now >= attempts.sweepAt) {
            std::erase_if(attempts.seen, [now](const auto& entry) { return entry.second < now; });
            attempts.sweepAt = now + sweepInterval;
        }
        if (attempts.seen.contains(call.attempt))
            return Admission::Duplicate;
        if (attempts.seen.size() >= maximumAttemptsPerShard)
            return Admission::Full;
        attempts.seen.emplace(call.attempt, call.request.deadline + duplicateWindow);
        return Admission::New;
    });
}

} // namespace Steering
