#include "forwarding/rankedroom.h"

#include <algorithm>

namespace Forwarding {

namespace {

    /// Time for which one shortage holds less urgent work back.
    constexpr Core::Millis memory { 1000 };

} // namespace

auto RankedRoom::noteShortage(int priority, Core::Instant now) -> void { m_lastShortage[priority] = now; }

auto RankedRoom::mayWait(int priority, Core::Instant now) const -> bool
{
    return std::none_of(m_lastShortage.begin(), m_lastShortage.lower_bound(priority),
        [now](const auto& shortage) { return now - shortage.second < memory; });
}

} // namespace Forwarding
