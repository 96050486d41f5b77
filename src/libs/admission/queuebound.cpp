#include "admission/queuebound.h"

#include <algorithm>
#include <limits>

namespace Admission {

namespace {

    /// Time after its last request for which a kind is taken into account.
    constexpr Core::Millis kindLifetime { 2000 };
    /// Time for which one shortage keeps less urgent requests from queueing.
    constexpr Core::Millis shortageHoldTime { 1000 };

} // namespace

auto QueueBound::record(int kind, Core::Duration targetLatency, Core::Duration work, Core::Instant now) -> void
{
    m_kinds[kind] = { std::max<Core::Duration>(targetLatency - work, {}), now };
}

auto QueueBound::waitingPerSlot(int kind, Core::Duration meanWork, Core::Instant now) const -> double
{
    const bool isUrgentShort = std::any_of(m_lastShortage.begin(), m_lastShortage.lower_bound(kind),
        [now](const auto& shortage) { return now - shortage.second < shortageHoldTime; });
    if (isUrgentShort)
        return 0;
    const bool isMostUrgent = m_kinds.empty() || m_kinds.begin()->first >= kind;
    if (isMostUrgent || meanWork.count() <= 0)
        return std::numeric_limits<double>::infinity();
    auto tolerance = Core::Duration::max();
    for (auto item = m_kinds.begin(); item != m_kinds.lower_bound(kind); ++item) {
        if (now - item->second.seenAt < kindLifetime)
            tolerance = std::min(tolerance, item->second.tolerance);
    }
    return static_cast<double>(tolerance.count()) / static_cast<double>(meanWork.count());
}

} // namespace Admission
