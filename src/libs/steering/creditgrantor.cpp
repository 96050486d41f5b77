#include "steering/creditgrantor.h"

#include "core/invariant.h"
#include "steering/relaycandidates.h"

#include <algorithm>

namespace Steering {

namespace {

    /// Time for which the source may use a credit, counted from when it sent its request.
    constexpr Core::Millis creditLifetime { 500 };
    /// Time after the end of that lifetime for which the destination still accepts the credit, since the relay itself
    /// takes time.
    constexpr Core::Millis relayDelayAllowance { 500 };
    /// Time for which an expired grant is kept to detect duplicates.
    constexpr Core::Millis duplicateWindow { 30'000 };
    /// Share of the free headroom that one grant may use, so that several sources obtain credits.
    constexpr double maximumGrantShare = 0.5;

} // namespace

CreditGrantor::CreditGrantor(Dependencies dependencies, Core::FailureDomainId failureDomain)
    : m_dependencies(dependencies)
    , m_failureDomain(std::move(failureDomain))
    , m_startedAt(dependencies.clock.now())
{
}

auto CreditGrantor::grant(const CreditRequest& request) -> CreditGrant
{
    const CreditGrant none { GrantId(), 0, creditLifetime };
    if (request.wanted == 0 || isGrantingDisabled() || request.source == m_failureDomain)
        return none;
    const auto load = loadOf(m_dependencies.ownLoads.serviceLoads(), request.service);
    const GrantId id(m_dependencies.random.next());
    const auto now = m_dependencies.clock.now();
    const std::lock_guard lock(m_mutex);
    auto& state = m_services[request.service];
    removeExpiredGrants(state, now);
    const auto count = std::min(request.wanted, grantableCredits(state, load, now));
    if (count == 0 || state.grants.contains(id))
        return none;
    state.grants.emplace(id,
        Grant { request.source, now + creditLifetime + relayDelayAllowance, std::vector<bool>(count, false), count });
    Core::invariant(outstandingCredits(state, now) <= spareSlots(load), "steering.credits-within-headroom");
    return { id, count, creditLifetime };
}

auto CreditGrantor::grantableCredits(ServiceState& state, const Fleet::ServiceLoad& load, Core::Instant now) const
    -> std::uint32_t
{
    if (load.usableSlots.value() == 0) {
        state.wasUnusable = true;
        return 0;
    }
    if (state.wasUnusable)
        state.usableSince = now;
    state.wasUnusable = false;
    const auto slowStart = m_dependencies.configuration.current()->slowStart;
    const auto usableFor = now - std::max(state.usableSince, m_startedAt);
    const auto ramp = usableFor >= slowStart ? 1.0 : Core::asMillis(usableFor) / Core::asMillis(slowStart);
    const auto offered = static_cast<std::uint32_t>(ramp * spareSlots(load));
    const auto outstanding = outstandingCredits(state, now);
    if (outstanding >= offered)
        return 0;
    return std::max(1U, static_cast<std::uint32_t>(maximumGrantShare * (offered - outstanding)));
}

auto CreditGrantor::redeem(const CreditId& credit, const Core::FailureDomainId& source, const Core::ServiceId& service)
    -> Redemption
{
    const auto load = loadOf(m_dependencies.ownLoads.serviceLoads(), service);
    const std::lock_guard lock(m_mutex);
    auto& state = m_services[service];
    const auto now = m_dependencies.clock.now();
    removeExpiredGrants(state, now);
    const auto found = state.grants.find(credit.grant);
    if (found == state.grants.end())
        return Redemption::PossibleDuplicate;
    auto& grant = found->second;
    if (grant.source != source || credit.index >= grant.isUsed.size())
        return Redemption::Invalid;
    if (grant.isUsed[credit.index])
        return Redemption::PossibleDuplicate;
    grant.isUsed[credit.index] = true;
    --grant.unused;
    if (m_isStopped || grant.expires <= now)
        return Redemption::Invalid;
    if (spareSlots(load) <= state.undispatched)
        return Redemption::HeadroomExhausted;
    ++state.undispatched;
    return Redemption::Accepted;
}

auto CreditGrantor::markDispatched(const Core::ServiceId& service) -> void
{
    const std::lock_guard lock(m_mutex);
    auto& state = m_services[service];
    Core::invariant(state.undispatched > 0, "steering.settled-once");
    --state.undispatched;
}

auto CreditGrantor::stopGranting() -> void { m_isStopped = true; }

auto CreditGrantor::isGrantingDisabled() const -> bool
{
    return m_isStopped || m_dependencies.configuration.current()->drained.contains(m_failureDomain);
}

auto CreditGrantor::removeExpiredGrants(ServiceState& state, Core::Instant now) -> void
{
    std::erase_if(state.grants, [now](const auto& entry) { return entry.second.expires + duplicateWindow <= now; });
}

auto CreditGrantor::outstandingCredits(const ServiceState& state, Core::Instant now) -> std::uint32_t
{
    auto sum = state.undispatched;
    for (const auto& [id, grant] : state.grants)
        sum += now < grant.expires ? grant.unused : 0;
    return sum;
}

} // namespace Steering
