#include "steering/creditpool.h"

#include <algorithm>

namespace Steering {

namespace {

    constexpr std::size_t maximumWaitingRequests = 256;
    constexpr std::size_t maximumOpenRequests = 2;
    constexpr std::uint32_t minimumBatchSize = 4;
    constexpr std::uint32_t maximumBatchSize = 64;
    constexpr Core::Millis refusalBackoff { 100 };

    auto spareSlotRatio(const Candidate& candidate) -> double
    {
        return static_cast<double>(spareSlots(candidate.load)) / candidate.load.usableSlots.value();
    }

} // namespace

CreditPool::CreditPool(Dependencies dependencies, Core::FailureDomainId failureDomain, Core::RegionId region)
    : m_dependencies(dependencies)
    , m_failureDomain(std::move(failureDomain))
    , m_region(std::move(region))
{
}

auto CreditPool::countArrival() -> void { m_movement.countArrival(m_dependencies.clock.now(), limits()); }

auto CreditPool::acquire(const Configuration::ServicePolicy& policy, Core::Bytes size, CreditCallback callback) -> void
{
    const auto now = m_dependencies.clock.now();
    std::optional<HeldCredit> credit;
    std::vector<OutgoingRequest> requests;
    const auto isWaiting = m_shards.with(policy.service, [&](Shard& shard) {
        auto& state = shard.services[policy.service];
        credit = takeHeldCredit(state, policy.rank, size, now);
        if (credit || state.waitingRequests.size() >= maximumWaitingRequests)
            return false;
        state.waitingRequests.push_back({ policy.rank, size, callback });
        requests = prepareRequests(state, policy.service, now);
        if (!state.pendingDestinations.empty())
            return true;
        state.waitingRequests.pop_back();
        return false;
    });
    if (!isWaiting)
        callback(std::move(credit));
    for (auto& outgoing : requests)
        send(std::move(outgoing));
}

auto CreditPool::countReply(const Core::RegionId& from, Core::Rank rank, Core::Bytes size) -> void
{
    m_dependencies.links.charge({ from, m_region }, rank, size, m_dependencies.clock.now());
}

auto CreditPool::takeHeldCredit(ServiceState& state, Core::Rank rank, Core::Bytes size, Core::Instant now)
    -> std::optional<HeldCredit>
{
    std::erase_if(state.heldGrants,
        [now](const HeldGrant& held) { return held.expires <= now || held.nextIndex >= held.grant.count; });
    for (auto& held : state.heldGrants) {
        if (tryReserve(held.destination, rank, size, now))
            return HeldCredit { held.destination, { held.grant.id, held.nextIndex++ } };
    }
    return std::nullopt;
}

auto CreditPool::tryReserve(const Fleet::EntryVm& destination, Core::Rank rank, Core::Bytes size, Core::Instant now)
    -> bool
{
    if (m_dependencies.configuration.current()->drained.contains(destination.failureDomain)
        || !m_movement.tryTake(destination.region, now, limits()))
        return false;
    if (m_dependencies.links.tryTake({ m_region, destination.region }, rank, size, now)
        && m_dependencies.links.hasCapacity({ destination.region, m_region }, rank, now))
        return true;
    m_movement.release(destination.region);
    return false;
}

auto CreditPool::prepareRequests(ServiceState& state, const Core::ServiceId& service, Core::Instant now)
    -> std::vector<OutgoingRequest>
{
    std::vector<OutgoingRequest> requests;
    const auto wanted
        = std::clamp(static_cast<std::uint32_t>(state.waitingRequests.size()), minimumBatchSize, maximumBatchSize);
    // Held credits that the movement cap or the link budget blocks do not justify requests for more.
    if (!state.heldGrants.empty())
        return requests;
    for (const auto& candidate : rankedDestinations(service)) {
        if (state.pendingDestinations.size() >= maximumOpenRequests)
            break;
        const auto retry = state.retryAt.find(candidate.vm.id);
        if (state.pendingDestinations.contains(candidate.vm.id)
            || (retry != state.retryAt.end() && now < retry->second))
            continue;
        state.retryAt.erase(candidate.vm.id);
        state.pendingDestinations.insert(candidate.vm.id);
        requests.push_back({ candidate.vm, { m_failureDomain, service, wanted } });
    }
    return requests;
}

auto CreditPool::rankedDestinations(const Core::ServiceId& service) -> std::vector<Candidate>
{
    const auto all = m_dependencies.candidates.current();
    const auto found = all->find(service);
    if (found == all->end())
        return {};
    const auto configuration = m_dependencies.configuration.current();
    std::vector<Candidate> chosen;
    for (const auto& candidate : found->second) {
        if (candidate.vm.failureDomain != m_failureDomain && spareSlots(candidate.load) > 0
            && !configuration->drained.contains(candidate.vm.failureDomain))
            chosen.push_back(candidate);
    }
    std::sort(chosen.begin(), chosen.end(), [this](const Candidate& left, const Candidate& right) {
        const auto leftIsNear = left.vm.region == m_region;
        const auto rightIsNear = right.vm.region == m_region;
        return leftIsNear != rightIsNear ? leftIsNear : spareSlotRatio(left) > spareSlotRatio(right);
    });
    return chosen;
}

auto CreditPool::send(OutgoingRequest outgoing) -> void
{
    const auto requestedAt = m_dependencies.clock.now();
    const auto destination = outgoing.destination;
    const auto request = outgoing.request;
    m_dependencies.port.requestCredits(destination, request,
        [this, outgoing = std::move(outgoing), requestedAt](
            const Core::Result<CreditGrant>& grant) { handleGrant(outgoing, requestedAt, grant); });
}

auto CreditPool::handleGrant(
    const OutgoingRequest& outgoing, Core::Instant requestedAt, const Core::Result<CreditGrant>& grant) -> void
{
    const auto& service = outgoing.request.service;
    const auto now = m_dependencies.clock.now();
    auto completions = m_shards.with(service, [&](Shard& shard) -> std::vector<Completion> {
        auto& state = shard.services[service];
        // Ignores duplicate responses to the same request.
        if (state.pendingDestinations.erase(outgoing.destination.id) == 0)
            return {};
        if (grant && grant->count > 0)
            state.heldGrants.push_back({ outgoing.destination, *grant, 0, requestedAt + grant->lifetime });
        else
            state.retryAt[outgoing.destination.id] = now + refusalBackoff;
        return completeWaiting(state, now);
    });
    for (auto& entry : completions)
        entry.callback(std::move(entry.credit));
}

auto CreditPool::completeWaiting(ServiceState& state, Core::Instant now) -> std::vector<Completion>
{
    std::vector<Completion> completions;
    while (!state.waitingRequests.empty()) {
        auto credit
            = takeHeldCredit(state, state.waitingRequests.front().rank, state.waitingRequests.front().size, now);
        // Keeps the remaining requests waiting while responses from other destinations are outstanding.
        if (!credit && !state.pendingDestinations.empty())
            break;
        completions.push_back({ std::move(state.waitingRequests.front().callback), std::move(credit) });
        state.waitingRequests.pop_front();
    }
    return completions;
}

auto CreditPool::limits() const -> MovementLimiter::Limits
{
    const auto configuration = m_dependencies.configuration.current();
    return { configuration->movementCap, configuration->lookupLifetime };
}

} // namespace Steering
