#include "steering/creditgrantor.h"

#include "core/invariant.h"
#include "steering/relaycandidates.h"

#include <algorithm>

namespace Steering {

namespace {

    /// Time for which the source may use a credit, counted from its asking.
    constexpr Core::Millis creditLifetime { 500 };
    /// Time beyond it for which the destination still accepts the credit, to allow for the relay's own delay.
    constexpr Core::Millis relayAllowance { 500 };
    /// Time for which an expired grant still tells a duplicate from a first copy.
    constexpr Core::Millis duplicateWindow { 30'000 };
    /// Part of the free headroom that one grant may take, so that several sources get some.
    constexpr double grantShare = 0.5;

} // namespace

CreditGrantor::CreditGrantor(Collaborators collaborators, Core::FailureDomainId failureDomain)
    : m_collaborators(collaborators)
    , m_failureDomain(std::move(failureDomain))
    , m_startedAt(collaborators.clock.now())
{
}

auto CreditGrantor::grant(const CreditRequest& request) -> CreditGrant
{
    const CreditGrant none { GrantId(), 0, creditLifetime };
    if (request.wanted == 0 || isDrained() || request.source == m_failureDomain)
        return none;
    const auto load = loadOf(m_collaborators.ownLoads.serviceLoads(), request.service);
    const GrantId id(m_collaborators.random.next());
    const auto now = m_collaborators.clock.now();
    const std::lock_guard lock(m_mutex);
    auto& state = m_services[request.service];
    forget(state, now);
    const auto count = std::min(request.wanted, offer(state, load, now));
    if (count == 0 || state.grants.contains(id))
        return none;
    state.grants.emplace(
        id, Grant { request.source, now + creditLifetime + relayAllowance, std::vector<bool>(count, false), count });
    Core::invariant(outstanding(state, now) <= spareSlots(load), "steering.credits-within-headroom");
    return { id, count, creditLifetime };
}

auto CreditGrantor::offer(ServiceState& state, const Fleet::ServiceLoad& load, Core::Instant now) const -> std::uint32_t
{
    if (load.usableSlots.value() == 0) {
        state.wasUnusable = true;
        return 0;
    }
    if (state.wasUnusable)
        state.usableSince = now;
    state.wasUnusable = false;
    const auto slowStart = m_collaborators.configuration.current()->slowStart;
    const auto usableFor = now - std::max(state.usableSince, m_startedAt);
    const auto ramp = usableFor >= slowStart ? 1.0 : Core::asMillis(usableFor) / Core::asMillis(slowStart);
    const auto offered = static_cast<std::uint32_t>(ramp * spareSlots(load));
    const auto taken = outstanding(state, now);
    if (taken >= offered)
        return 0;
    return std::max(1U, static_cast<std::uint32_t>(grantShare * (offered - taken)));
}

auto CreditGrantor::redeem(const CreditId& credit, const Core::FailureDomainId& source, const Core::ServiceId& service)
    -> Redemption
{
    const auto load = loadOf(m_collaborators.ownLoads.serviceLoads(), service);
    const std::lock_guard lock(m_mutex);
    auto& state = m_services[service];
    const auto now = m_collaborators.clock.now();
    forget(state, now);
    const auto found = state.grants.find(credit.grant);
    if (found == state.grants.end())
        return Redemption::MayBeCopy;
    auto& grant = found->second;
    if (grant.source != source || credit.index >= grant.isUsed.size())
        return Redemption::Invalid;
    if (grant.isUsed[credit.index])
        return Redemption::MayBeCopy;
    grant.isUsed[credit.index] = true;
    --grant.unused;
    if (m_isStopped || grant.expires <= now)
        return Redemption::Invalid;
    if (spareSlots(load) <= state.unsettled)
        return Redemption::HeadroomGone;
    ++state.unsettled;
    return Redemption::Accepted;
}

auto CreditGrantor::settle(const Core::ServiceId& service) -> void
{
    const std::lock_guard lock(m_mutex);
    auto& state = m_services[service];
    Core::invariant(state.unsettled > 0, "steering.settled-once");
    --state.unsettled;
}

auto CreditGrantor::stopGranting() -> void { m_isStopped = true; }

auto CreditGrantor::isDrained() const -> bool
{
    return m_isStopped || m_collaborators.configuration.current()->drained.contains(m_failureDomain);
}

auto CreditGrantor::forget(ServiceState& state, Core::Instant now) -> void
{
    std::erase_if(state.grants, [now](const auto& entry) { return entry.second.expires + duplicateWindow <= now; });
}

auto CreditGrantor::outstanding(const ServiceState& state, Core::Instant now) -> std::uint32_t
{
    auto sum = state.unsettled;
    for (const auto& [id, grant] : state.grants)
        sum += now < grant.expires ? grant.unused : 0;
    return sum;
}

} // namespace Steering
