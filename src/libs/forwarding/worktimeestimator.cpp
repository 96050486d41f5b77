#include "forwarding/worktimeestimator.h"

#include <cmath>

namespace Forwarding {

namespace {

    constexpr double percent = 100;
    /// Half-life of the reported difference from the usual time.
    constexpr Core::Millis halfLife { 300 };

} // namespace

auto WorkTimeEstimator::record(Core::Percent workTime, Core::Instant now) -> void
{
    m_factor = workTime.value() / percent;
    m_recordedAt = now;
}

auto WorkTimeEstimator::factor(Core::Instant now) const -> double
{
    const auto halfLives = std::chrono::duration<double>(now - m_recordedAt) / std::chrono::duration<double>(halfLife);
    return 1 + (m_factor - 1) * std::exp2(-halfLives);
}

} // namespace Forwarding
