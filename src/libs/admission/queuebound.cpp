#include "admission/queuebound.h"

#include <algorithm>
#include <limits>

namespace Admission {

namespace {

    /// Time after its last request for which an urgency is taken into account.
    constexpr Core::Millis toleranceLifetime { 2000 };
    /// Time for which one shortage keeps less urgent requests from queueing.
    constexpr Core::Millis shortageHoldTime { 1000 };

} // namespace

auto QueueBound::record(const Urgency& urgency, Core::Duration targetLatency, Core::Duration work, Core::Instant now)
    -> void
{
    const auto wait = std::max<Core::Duration>(targetLatency - work, {});
    auto& tolerance = m_tolerances[urgency];
    // The least tolerant of the recent requests decides.
    if (wait <= tolerance.wait || now - tolerance.seenAt >= toleranceLifetime)
        tolerance = { wait, now };
}

auto QueueBound::waitingPerSlot(const Urgency& urgency, Core::Duration meanWork, Core::Instant now) const -> double
{
    const bool isUrgentShort = std::any_of(m_lastShortage.begin(), m_lastShortage.lower_bound(urgency),
        [now](const auto& shortage) { return now - shortage.second < shortageHoldTime; });
    if (isUrgentShort)
        return 0;
    const bool isMostUrgent = m_tolerances.empty() || m_tolerances.begin()->first >= urgency;
    if (isMostUrgent || meanWork.count() <= 0)
        return std::numeric_limits<double>::infinity();
    auto tolerance = Core::Duration::max();
    for (auto item = m_tolerances.begin(); item != m_tolerances.lower_bound(urgency); ++item) {
        if (now - item->second.seenAt < toleranceLifetime)
            tolerance = std::min(tolerance, item->second.wait);
    }
    return static_cast<double>(tolerance.count()) / static_cast<double>(meanWork.count());
}

} // namespace Admission
