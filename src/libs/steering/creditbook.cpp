#include "steering/creditbook.h"

#include <algorithm>

namespace Steering {

namespace {

    constexpr std::size_t maximumWaiting = 256;
    constexpr std::size_t maximumAsks = 2;
    constexpr std::uint32_t minimumBatch = 4;
    constexpr std::uint32_t maximumBatch = 64;
    constexpr Core::Millis refusedPause { 100 };

    auto spareShare(const Candidate& candidate) -> double
    {
        return static_cast<double>(spareSlots(candidate.load)) / candidate.load.usableSlots.value();
    }

} // namespace

CreditBook::CreditBook(Collaborators collaborators, Core::FailureDomainId failureDomain, Core::RegionId region)
    : m_collaborators(collaborators)
    , m_failureDomain(std::move(failureDomain))
    , m_region(std::move(region))
{
}

auto CreditBook::countArrival() -> void { m_movement.countArrival(m_collaborators.clock.now(), limits()); }

auto CreditBook::acquire(const Configuration::ServicePolicy& policy, Core::Bytes size, CreditCallback callback) -> void
{
    const auto now = m_collaborators.clock.now();
    std::optional<HeldCredit> credit;
    std::vector<Ask> asks;
    const auto isWaiting = m_state.with(policy.service, [&](State& services) {
        auto& state = services.services[policy.service];
        credit = take(state, policy.rank, size, now);
        if (credit || state.waiting.size() >= maximumWaiting)
            return false;
        state.waiting.push_back({ policy.rank, size, callback });
        asks = chooseAsks(state, policy.service, now);
        if (!state.asked.empty())
            return true;
        state.waiting.pop_back();
        return false;
    });
    if (!isWaiting)
        callback(std::move(credit));
    for (auto& ask : asks)
        send(std::move(ask));
}

auto CreditBook::countReply(const Core::RegionId& from, Core::Rank rank, Core::Bytes size) -> void
{
    m_collaborators.links.charge({ from, m_region }, rank, size, m_collaborators.clock.now());
}

auto CreditBook::take(ServiceState& state, Core::Rank rank, Core::Bytes size, Core::Instant now)
    -> std::optional<HeldCredit>
{
    std::erase_if(state.held, [now](const Held& held) { return held.expires <= now || held.next >= held.grant.count; });
    for (auto& held : state.held) {
        if (hasRoomFor(held.destination, rank, size, now))
            return HeldCredit { held.destination, { held.grant.id, held.next++ } };
    }
    return std::nullopt;
}

auto CreditBook::hasRoomFor(const Fleet::EntryVm& destination, Core::Rank rank, Core::Bytes size, Core::Instant now)
    -> bool
{
    if (m_collaborators.configuration.current()->drained.contains(destination.failureDomain)
        || !m_movement.takeRoom(destination.region, now, limits()))
        return false;
    if (m_collaborators.links.take({ m_region, destination.region }, rank, size, now)
        && m_collaborators.links.hasRoom({ destination.region, m_region }, rank, now))
        return true;
    m_movement.returnRoom(destination.region);
    return false;
}

auto CreditBook::chooseAsks(ServiceState& state, const Core::ServiceId& service, Core::Instant now) -> std::vector<Ask>
{
    std::vector<Ask> asks;
    const auto wanted = std::clamp(static_cast<std::uint32_t>(state.waiting.size()), minimumBatch, maximumBatch);
    // Held credits that the cap or the link keeps back are no reason to ask for more.
    if (!state.held.empty())
        return asks;
    for (const auto& candidate : destinations(service)) {
        if (state.asked.size() >= maximumAsks)
            break;
        const auto pause = state.askAgainAt.find(candidate.vm.id);
        if (state.asked.contains(candidate.vm.id) || (pause != state.askAgainAt.end() && now < pause->second))
            continue;
        state.askAgainAt.erase(candidate.vm.id);
        state.asked.insert(candidate.vm.id);
        asks.push_back({ candidate.vm, { m_failureDomain, service, wanted } });
    }
    return asks;
}

auto CreditBook::destinations(const Core::ServiceId& service) -> std::vector<Candidate>
{
    const auto all = m_collaborators.candidates.current();
    const auto found = all->find(service);
    if (found == all->end())
        return {};
    const auto configuration = m_collaborators.configuration.current();
    std::vector<Candidate> chosen;
    for (const auto& candidate : found->second) {
        if (candidate.vm.failureDomain != m_failureDomain && spareSlots(candidate.load) > 0
            && !configuration->drained.contains(candidate.vm.failureDomain))
            chosen.push_back(candidate);
    }
    std::sort(chosen.begin(), chosen.end(), [this](const Candidate& left, const Candidate& right) {
        const auto leftIsNear = left.vm.region == m_region;
        const auto rightIsNear = right.vm.region == m_region;
        return leftIsNear != rightIsNear ? leftIsNear : spareShare(left) > spareShare(right);
    });
    return chosen;
}

auto CreditBook::send(Ask ask) -> void
{
    const auto askedAt = m_collaborators.clock.now();
    const auto destination = ask.destination;
    const auto request = ask.request;
    m_collaborators.port.ask(
        destination, request, [this, ask = std::move(ask), askedAt](const Core::Result<CreditGrant>& grant) {
            takeGrant(ask, askedAt, grant);
        });
}

auto CreditBook::takeGrant(const Ask& ask, Core::Instant askedAt, const Core::Result<CreditGrant>& grant) -> void
{
    const auto& service = ask.request.service;
    const auto now = m_collaborators.clock.now();
    auto settled = m_state.with(service, [&](State& services) -> std::vector<Settled> {
        auto& state = services.services[service];
        // A second answer to the same question is ignored.
        if (state.asked.erase(ask.destination.id) == 0)
            return {};
        if (grant && grant->count > 0)
            state.held.push_back({ ask.destination, *grant, 0, askedAt + grant->lifetime });
        else
            state.askAgainAt[ask.destination.id] = now + refusedPause;
        return settleWaiting(state, now);
    });
    for (auto& entry : settled)
        entry.callback(std::move(entry.credit));
}

auto CreditBook::settleWaiting(ServiceState& state, Core::Instant now) -> std::vector<Settled>
{
    std::vector<Settled> settled;
    while (!state.waiting.empty()) {
        auto credit = take(state, state.waiting.front().rank, state.waiting.front().size, now);
        // While other destinations have yet to answer, the rest keeps waiting.
        if (!credit && !state.asked.empty())
            break;
        settled.push_back({ std::move(state.waiting.front().callback), std::move(credit) });
        state.waiting.pop_front();
    }
    return settled;
}

auto CreditBook::limits() const -> MovementLimiter::Limits
{
    const auto configuration = m_collaborators.configuration.current();
    return { configuration->movementCap, configuration->lookupLifetime };
}

} // namespace Steering
