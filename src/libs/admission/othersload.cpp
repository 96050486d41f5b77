#include "admission/othersload.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

    /// Weight of the newest report.
    constexpr double smoothingFactor = 0.1;
    /// Time without a report for which the last ones hold unchanged.
    constexpr Core::Millis validity { 1000 };
    /// Half-life of what is known after that.
    constexpr Core::Millis halfLife { 500 };

} // namespace

auto OthersLoad::record(double requestsPerSlot, Core::Instant now) -> void
{
    const double known = perSlot(now);
    m_perSlot = known + smoothingFactor * (requestsPerSlot - known);
    m_recordedAt = now;
}

auto OthersLoad::perSlot(Core::Instant now) const -> double
{
    // A clock that has jumped back ages nothing.
    const auto age = std::max<Core::Duration>(now - m_recordedAt - validity, {});
    const auto halfLives = std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife);
    return m_perSlot * std::exp2(-halfLives);
}

} // namespace Admission
