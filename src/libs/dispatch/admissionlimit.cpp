#include "dispatch/admissionlimit.h"

#include "core/invariant.h"

namespace Dispatch {

namespace {

    /// Share of the limit up to which requests of the rank are admitted; all held requests count, whatever their rank.
    constexpr std::array<double, Core::rankCount> shareByRank { 1.0, 0.75, 0.5 };

} // namespace

AdmissionLimit::AdmissionLimit(std::size_t limit)
    : m_limit(limit)
{
}

auto AdmissionLimit::tryEnter(Core::Rank rank) -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto share = shareByRank.at(Core::rankIndex(rank));
    if (static_cast<double>(m_held) >= share * static_cast<double>(m_limit))
        return false;
    ++m_held;
    return true;
}

auto AdmissionLimit::leave() -> void
{
    const std::lock_guard lock(m_mutex);
    Core::invariant(m_held > 0, "dispatch.admission-balanced");
    --m_held;
}

} // namespace Dispatch
