#include "steering/relaycandidates.h"

namespace Steering {

namespace {

    constexpr Core::Millis refreshInterval { 20 };

} // namespace

auto spareSlots(const Fleet::ServiceLoad& load) -> std::uint32_t
{
    const auto taken = load.busySlots.value() + load.queued;
    return taken < load.usableSlots.value() ? load.usableSlots.value() - taken : 0;
}

auto loadOf(const std::vector<Fleet::ServiceLoad>& loads, const Core::ServiceId& service) -> Fleet::ServiceLoad
{
    for (const auto& load : loads) {
        if (load.service == service)
            return load;
    }
    return { service, Core::SlotCount(0), Core::SlotCount(0), 0, {} };
}

RelayCandidates::RelayCandidates(
    const Membership::MembershipView& membership, const Ports::Clock& clock, Core::EntryVmId self)
    : m_membership(membership)
    , m_clock(clock)
    , m_self(std::move(self))
{
}

auto RelayCandidates::current() -> std::shared_ptr<const ByService>
{
    const auto now = m_clock.now();
    {
        const std::lock_guard lock(m_mutex);
        if (m_current != nullptr && now < m_refreshAt)
            return m_current;
    }
    auto collected = collect();
    const std::lock_guard lock(m_mutex);
    m_current = std::move(collected);
    m_refreshAt = now + refreshInterval;
    return m_current;
}

auto RelayCandidates::collect() const -> std::shared_ptr<const ByService>
{
    auto collected = std::make_shared<ByService>();
    for (const auto& member : m_membership.members()) {
        if (member.health != Membership::MemberHealth::Alive || member.vm.id == m_self)
            continue;
        for (const auto& load : member.loads) {
            if (load.usableSlots.value() > 0)
                (*collected)[load.service].push_back({ member.vm, load });
        }
    }
    return collected;
}

} // namespace Steering
