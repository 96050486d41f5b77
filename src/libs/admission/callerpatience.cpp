#include "admission/callerpatience.h"

#include <algorithm>

namespace Admission {

namespace {

    /// The longest time is that of this period and the one before it.
    constexpr Core::Millis period { 30'000 };
    /// Difference that is due to the way from the caller.
    constexpr Core::Millis travelTolerance { 50 };

} // namespace

auto CallerPatience::record(Core::Duration timeLeft, Core::Instant now) -> void
{
    if (now - m_periodStart >= period) {
        m_longestBefore = m_longest;
        m_longest = {};
        m_periodStart = now;
    }
    m_longest = std::max(m_longest, timeLeft);
}

auto CallerPatience::elapsed(Core::Duration timeLeft) const -> Core::Duration
{
    const auto longest = std::max(m_longest, m_longestBefore);
    const auto elapsed = longest - timeLeft;
    // A caller that comes back as it was told has most of its time left. One that allows much less is of another kind.
    const bool isOtherKind = timeLeft < longest / 2;
    return elapsed <= travelTolerance || isOtherKind ? Core::Duration(0) : elapsed;
}

} // namespace Admission
