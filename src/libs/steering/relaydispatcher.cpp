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

    /// Returns true if the receiver refused the request before it ran, for a reason that may not apply to another
    /// receiver.
    auto isRetryable(const Core::Reply& reply) -> bool
    {
        const auto* refusal = std::get_if<Core::Refusal>(&reply);
        if (refusal == nullptr || refusal->outcome != Core::RunOutcome::NotRun)
            return false;
        return refusal->reason == Core::RefusalReason::Overloaded || refusal->reason == Core::RefusalReason::NoUpstream
            || refusal->reason == Core::RefusalReason::ShuttingDown;
    }

    auto matchesRequest(const Core::Reply& reply, const Core::RequestId& id) -> bool
    {
        const auto* answer = std::get_if<Core::Answer>(&reply);
        return answer == nullptr || answer->id == id;
    }

} // namespace

RelayDispatcher::RelayDispatcher(Dependencies dependencies, Core::FailureDomainId failureDomain)
    : m_dependencies(dependencies)
    , m_failureDomain(failureDomain)
    , m_drain(std::move(failureDomain))
{
}

auto RelayDispatcher::dispatch(
    Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback) -> void
{
    m_retryBudget.countFirstAttempt(m_dependencies.configuration.current()->retryBudget);
    m_dependencies.credits.countArrival();
    auto routed
        = std::make_shared<RoutedRequest>(RoutedRequest { std::move(request), policy, std::move(callback), {}, 0 });
    if (routed->request.hops >= maximumHops)
        runLocally(routed);
    else
        route(routed);
}

auto RelayDispatcher::route(const RoutedRequestPointer& routed) -> void
{
    if (refusesNewWork()) {
        relayAcrossDomains(routed);
        return;
    }
    if (spareSlots(ownLoad(routed->request.service)) > 0) {
        runLocally(routed);
        return;
    }
    const auto neighbour = bestNeighbour(*routed);
    if (neighbour && estimatedSpareSlots(*neighbour) > 0)
        relay(routed, neighbour->vm, std::nullopt);
    else
        relayAcrossDomains(routed);
}

auto RelayDispatcher::runLocally(const RoutedRequestPointer& routed) -> void
{
    m_dependencies.local.dispatch(std::move(routed->request), routed->policy,
        [routed](Core::Reply reply) { routed->callback(std::move(reply)); });
}

auto RelayDispatcher::relayAcrossDomains(const RoutedRequestPointer& routed) -> void
{
    m_dependencies.credits.acquire(
        routed->policy, sizeOf(routed->request), [this, routed](std::optional<HeldCredit> credit) {
            if (credit)
                relay(routed, credit->destination, credit->id);
            else
                handleInOwnDomain(routed);
        });
}

auto RelayDispatcher::handleInOwnDomain(const RoutedRequestPointer& routed) -> void
{
    if (refusesNewWork() && isServedElsewhere(routed->request.service)) {
        routed->callback(Core::Refusal { Core::RunOutcome::NotRun, Core::RefusalReason::ShuttingDown,
            "the failure domain is drained", "ask for a new look-up answer", {} });
        return;
    }
    const auto neighbour = bestNeighbour(*routed);
    if (neighbour && ownLoad(routed->request.service).usableSlots.value() == 0)
        relay(routed, neighbour->vm, std::nullopt);
    else
        runLocally(routed);
}

auto RelayDispatcher::refusesNewWork() -> bool
{
    const auto phase = m_drain.phase(m_dependencies.clock.now(), *m_dependencies.configuration.current());
    return phase == DrainPhase::RefusingNewWork;
}

auto RelayDispatcher::isServedElsewhere(const Core::ServiceId& service) const -> bool
{
    const auto all = m_dependencies.candidates.current();
    const auto found = all->find(service);
    return found != all->end()
        && std::any_of(found->second.begin(), found->second.end(),
            [this](const Candidate& candidate) { return candidate.vm.failureDomain != m_failureDomain; });
}

auto RelayDispatcher::relay(
    const RoutedRequestPointer& routed, const Fleet::EntryVm& target, std::optional<CreditId> credit) -> void
{
    ++routed->attempts;
    routed->triedVms.insert(target.id);
    changeInFlight(target.id, 1);
    m_dependencies.events.record({ requestRelayed, routed->request.id,
        { { "vm", target.id.value() }, { "failureDomain", target.failureDomain.value() } } });
    RelayCall call { routed->request, routed->request.deadline - m_dependencies.clock.now(), m_failureDomain,
        AttemptId(m_dependencies.random.next()), credit };
    ++call.request.hops;
    m_dependencies.relays.relay(target, std::move(call), [this, routed, target](RelayResult result) {
        changeInFlight(target.id, -1);
        handleResult(routed, target, std::move(result));
    });
}

auto RelayDispatcher::handleResult(const RoutedRequestPointer& routed, const Fleet::EntryVm& target, RelayResult result)
    -> void
{
    if (auto* reply = std::get_if<Core::Reply>(&result)) {
        if (target.failureDomain != m_failureDomain)
            m_dependencies.credits.countReply(target.region, routed->policy.rank, sizeOf(*reply));
        handleReply(routed, std::move(*reply));
        return;
    }
    if (const auto* lost = std::get_if<Lost>(&result)) {
        handleLostReply(routed, lost->error);
        return;
    }
    if (mayRetry(*routed))
        route(routed);
    else
        handleInOwnDomain(routed);
}

auto RelayDispatcher::handleReply(const RoutedRequestPointer& routed, Core::Reply reply) -> void
{
    if (!matchesRequest(reply, routed->request.id)) {
        handleLostReply(routed,
            { Core::ErrorKind::InvalidMessage, "the reply belongs to another request",
                "report it with both entry VMs' timelines" });
        return;
    }
    if (isRetryable(reply) && mayRetry(*routed) && m_retryBudget.tryTake())
        route(routed);
    else
        routed->callback(std::move(reply));
}

auto RelayDispatcher::handleLostReply(const RoutedRequestPointer& routed, const Core::Error& error) -> void
{
    if (routed->policy.isIdempotent && mayRetry(*routed) && m_retryBudget.tryTake()) {
        route(routed);
        return;
    }
    routed->callback(Core::Refusal { Core::RunOutcome::Unknown, Core::RefusalReason::UpstreamFailed,
        "no reply came from the entry VM that the request was relayed to: " + error.message,
        "retry with the same idempotency key", {} });
}

auto RelayDispatcher::ownLoad(const Core::ServiceId& service) const -> Fleet::ServiceLoad
{
    return loadOf(m_dependencies.ownLoads.serviceLoads(), service);
}

auto RelayDispatcher::bestNeighbour(const RoutedRequest& routed) -> std::optional<Candidate>
{
    const auto all = m_dependencies.candidates.current();
    const auto found = all->find(routed.request.service);
    if (found == all->end())
        return std::nullopt;
    std::vector<const Candidate*> neighbours;
    for (const auto& candidate : found->second) {
        if (candidate.vm.failureDomain == m_failureDomain && !routed.triedVms.contains(candidate.vm.id))
            neighbours.push_back(&candidate);
    }
    if (neighbours.empty())
        return std::nullopt;
    // The choice between two random neighbours spreads the requests of many entry VMs that see the same stale loads.
    const auto* first = neighbours[m_dependencies.random.next() % neighbours.size()];
    const auto* second = neighbours[m_dependencies.random.next() % neighbours.size()];
    return estimatedSpareSlots(*second) > estimatedSpareSlots(*first) ? *second : *first;
}

auto RelayDispatcher::estimatedSpareSlots(const Candidate& candidate) -> std::uint32_t
{
    const auto inFlight = m_inFlight.with(candidate.vm.id, [&](InFlight& state) {
        const auto found = state.relays.find(candidate.vm.id);
        return found == state.relays.end() ? 0U : found->second;
    });
    const auto usable = candidate.load.usableSlots.value();
    return inFlight < usable ? std::min(spareSlots(candidate.load), usable - inFlight) : 0;
}

auto RelayDispatcher::mayRetry(const RoutedRequest& routed) const -> bool
{
    return routed.attempts < maximumAttempts && routed.request.deadline > m_dependencies.clock.now();
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
