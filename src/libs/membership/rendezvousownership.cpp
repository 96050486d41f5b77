#include "membership/rendezvousownership.h"

#include "fleet/rendezvous.h"

namespace Membership {

namespace {

    /// Age up to which a list of live members is reused, so that a request does not copy the whole view.
    constexpr Core::Millis maximumAge { 100 };

} // namespace

RendezvousOwnership::RendezvousOwnership(const MembershipView& view, const Ports::Clock& clock,
    const Core::EntryVmId& self, Core::FailureDomainId failureDomain)
    : m_view(view)
    , m_clock(clock)
    , m_self(self.value())
    , m_failureDomain(std::move(failureDomain))
{
}

auto RendezvousOwnership::isOwn(const Fleet::Upstream& upstream) const -> bool
{
    if (upstream.failureDomain != m_failureDomain)
        return false;
    return Fleet::rendezvousPosition(upstream.id.value(), m_self, *liveNames()) == 0;
}

auto RendezvousOwnership::liveNames() const -> std::shared_ptr<const Names>
{
    const auto now = m_clock.now();
    {
        const std::lock_guard lock(m_mutex);
        if (m_names && now - m_readAt < maximumAge)
            return m_names;
    }
    auto names = std::make_shared<Names>();
    for (const auto& member : m_view.members()) {
        if (member.vm.failureDomain == m_failureDomain && member.health == MemberHealth::Alive)
            names->push_back(member.vm.id.value());
    }
    const std::lock_guard lock(m_mutex);
    m_names = std::move(names);
    m_readAt = now;
    return m_names;
}

} // namespace Membership
