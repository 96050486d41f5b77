#include "steering/relaydispatcher.h"

#include <algorithm>

namespace Steering {

namespace {

    const Ports::EventKind requestRelayed { "request.relayed" };
    constexpr std::uint32_t maximumHops = 3;
    constexpr std::uint32_t maximumAttempts = 3;

    auto sizeOf(const Core::ServiceRequest& request) -> Core::Bytes
    {
        return Core::Bytes(request.operation.size() + request.body.size());
    }

    auto sizeOf(const Core::Reply& reply) -> Core::Bytes
    {
        const auto* answer = std::get_if<Core::Answer>(&reply);
        return Core::Bytes(answer == nullptr ? 0 : answer->body.size());
    }

    /// The receiver refused the request before starting it, for a reason that another receiver may not have.
    auto isWorthRetry(const Core::Reply& reply) -> bool
    {
        const auto* refusal = std::get_if<Core::Refusal>(&reply);
        if (refusal == nullptr || refusal->outcome != Core::RunOutcome::NotRun)
            return false;
        return refusal->reason == Core::RefusalReason::Overloaded || refusal->reason == Core::RefusalReason::NoUpstream
            || refusal->reason == Core::RefusalReason::ShuttingDown;
    }

    auto belongsTo(const Core::Reply& reply, const Core::RequestId& id) -> bool
    {
        const auto* answer = std::get_if<Core::Answer>(&reply);
        return answer == nullptr || answer->id == id;
    }

} // namespace

RelayDispatcher::RelayDispatcher(Collaborators collaborators, Core::FailureDomainId failureDomain)
    : m_collaborators(collaborators)
    , m_failureDomain(failureDomain)
    , m_drain(std::move(failureDomain))
{
}

auto RelayDispatcher::dispatch(
    Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback) -> void
{
    m_retries.countAttempt(m_collaborators.configuration.current()->retryBudget);
    m_collaborators.credits.countArrival();
    auto journey = std::make_shared<Journey>(Journey { std::move(request), policy, std::move(callback), {}, 0 });
    if (journey->request.hops >= maximumHops)
        runLocally(journey);
    else
        route(journey);
}

auto RelayDispatcher::route(const JourneyPointer& journey) -> void
{
    if (takesNoNewWork()) {
        spill(journey);
        return;
    }
    if (spareSlots(ownLoad(journey->request.service)) > 0) {
        runLocally(journey);
        return;
    }
    const auto owner = bestOwner(*journey);
    if (owner && roomOf(*owner) > 0)
        relay(journey, owner->vm, std::nullopt);
    else
        spill(journey);
}

auto RelayDispatcher::runLocally(const JourneyPointer& journey) -> void
{
    m_collaborators.local.dispatch(std::move(journey->request), journey->policy,
        [journey](Core::Reply reply) { journey->callback(std::move(reply)); });
}

auto RelayDispatcher::spill(const JourneyPointer& journey) -> void
{
    m_collaborators.credits.acquire(
        journey->policy, sizeOf(journey->request), [this, journey](std::optional<HeldCredit> credit) {
            if (credit)
                relay(journey, credit->destination, credit->id);
            else
                stayInFailureDomain(journey);
        });
}

auto RelayDispatcher::stayInFailureDomain(const JourneyPointer& journey) -> void
{
    if (takesNoNewWork() && isServedElsewhere(journey->request.service)) {
        journey->callback(Core::Refusal { Core::RunOutcome::NotRun, Core::RefusalReason::ShuttingDown,
            "the failure domain is drained", "ask for a new look-up answer", {} });
        return;
    }
    const auto owner = bestOwner(*journey);
    if (owner && ownLoad(journey->request.service).usableSlots.value() == 0)
        relay(journey, owner->vm, std::nullopt);
    else
        runLocally(journey);
}

auto RelayDispatcher::takesNoNewWork() -> bool
{
    const auto phase = m_drain.phase(m_collaborators.clock.now(), *m_collaborators.configuration.current());
    return phase == DrainPhase::NoNewWork;
}

auto RelayDispatcher::isServedElsewhere(const Core::ServiceId& service) const -> bool
{
    const auto all = m_collaborators.candidates.current();
    const auto found = all->find(service);
    return found != all->end()
        && std::any_of(found->second.begin(), found->second.end(),
            [this](const Candidate& candidate) { return candidate.vm.failureDomain != m_failureDomain; });
}

auto RelayDispatcher::relay(const JourneyPointer& journey, const Fleet::EntryVm& target, std::optional<CreditId> credit)
    -> void
{
    ++journey->attempts;
    journey->tried.insert(target.id);
    changeInFlight(target.id, 1);
    m_collaborators.events.record({ requestRelayed, journey->request.id,
        { { "vm", target.id.value() }, { "failureDomain", target.failureDomain.value() } } });
    RelayCall call { journey->request, journey->request.deadline - m_collaborators.clock.now(), m_failureDomain,
        AttemptId(m_collaborators.random.next()), credit };
    ++call.request.hops;
    m_collaborators.relays.relay(target, std::move(call), [this, journey, target](RelayResult result) {
        changeInFlight(target.id, -1);
        finish(journey, target, std::move(result));
    });
}

auto RelayDispatcher::finish(const JourneyPointer& journey, const Fleet::EntryVm& target, RelayResult result) -> void
{
    if (auto* reply = std::get_if<Core::Reply>(&result)) {
        if (target.failureDomain != m_failureDomain)
            m_collaborators.credits.countReply(target.region, journey->policy.rank, sizeOf(*reply));
        finishWithReply(journey, std::move(*reply));
        return;
    }
    if (const auto* lost = std::get_if<Lost>(&result)) {
        finishLost(journey, lost->error);
        return;
    }
    if (mayTryAgain(*journey))
        route(journey);
    else
        stayInFailureDomain(journey);
}

auto RelayDispatcher::finishWithReply(const JourneyPointer& journey, Core::Reply reply) -> void
{
    if (!belongsTo(reply, journey->request.id)) {
        finishLost(journey,
            { Core::ErrorKind::InvalidMessage, "the reply belongs to another request",
                "report it with both entry VMs' time lines" });
        return;
    }
    if (isWorthRetry(reply) && mayTryAgain(*journey) && m_retries.takeRetry())
        route(journey);
    else
        journey->callback(std::move(reply));
}

auto RelayDispatcher::finishLost(const JourneyPointer& journey, const Core::Error& error) -> void
{
    if (journey->policy.isIdempotent && mayTryAgain(*journey) && m_retries.takeRetry()) {
        route(journey);
        return;
    }
    journey->callback(Core::Refusal { Core::RunOutcome::Unknown, Core::RefusalReason::UpstreamFailed,
        "no reply came from the entry VM that the request was relayed to: " + error.message,
        "ask again with the same idempotency key", {} });
}

auto RelayDispatcher::ownLoad(const Core::ServiceId& service) const -> Fleet::ServiceLoad
{
    return loadOf(m_collaborators.ownLoads.serviceLoads(), service);
}

auto RelayDispatcher::bestOwner(const Journey& journey) -> std::optional<Candidate>
{
    const auto all = m_collaborators.candidates.current();
    const auto found = all->find(journey.request.service);
    if (found == all->end())
        return std::nullopt;
    std::vector<const Candidate*> owners;
    for (const auto& candidate : found->second) {
        if (candidate.vm.failureDomain == m_failureDomain && !journey.tried.contains(candidate.vm.id))
            owners.push_back(&candidate);
    }
    if (owners.empty())
        return std::nullopt;
    // Two random choices spread the requests of many entry VMs that see the same lagging loads.
    const auto* first = owners[m_collaborators.random.next() % owners.size()];
    const auto* second = owners[m_collaborators.random.next() % owners.size()];
    return roomOf(*second) > roomOf(*first) ? *second : *first;
}

auto RelayDispatcher::roomOf(const Candidate& candidate) -> std::uint32_t
{
    const auto inFlight = m_inFlight.with(candidate.vm.id, [&](InFlight& state) {
        const auto found = state.relays.find(candidate.vm.id);
        return found == state.relays.end() ? 0U : found->second;
    });
    const auto usable = candidate.load.usableSlots.value();
    return inFlight < usable ? std::min(spareSlots(candidate.load), usable - inFlight) : 0;
}

auto RelayDispatcher::mayTryAgain(const Journey& journey) const -> bool
{
    return journey.attempts < maximumAttempts && journey.request.deadline > m_collaborators.clock.now();
}

auto RelayDispatcher::changeInFlight(const Core::EntryVmId& vm, std::int32_t change) -> void
{
    m_inFlight.with(vm, [&](InFlight& state) {
        auto& count = state.relays[vm];
        count += static_cast<std::uint32_t>(change);
        if (count == 0)
            state.relays.erase(vm);
    });
}

} // namespace Steering
