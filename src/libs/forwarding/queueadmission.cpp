#include "forwarding/queueadmission.h"

#include <algorithm>

namespace Forwarding {

namespace {

    /// Time for which one shortage prevents less urgent requests from queueing.
    constexpr Core::Millis shortageHoldTime { 1000 };

} // namespace

auto QueueAdmission::recordShortage(int priority, Core::Instant now) -> void { m_lastShortage[priority] = now; }

auto QueueAdmission::mayQueue(int priority, Core::Instant now) const -> bool
{
    return std::none_of(m_lastShortage.begin(), m_lastShortage.lower_bound(priority),
        [now](const auto& shortage) { return now - shortage.second < shortageHoldTime; });
}

} // namespace Forwarding
