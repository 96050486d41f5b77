#include "admission/returnschedule.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Admission {

namespace {

    constexpr Core::Millis halfLife { 2000 };
    /// Time between two places if nothing was started lately.
    constexpr Core::Millis longestInterval { 500 };

    auto scaled(Core::Duration duration, double factor) -> Core::Duration
    {
        return Core::Duration(static_cast<Core::Duration::rep>(static_cast<double>(duration.count()) * factor));
    }

    auto faded(double value, Core::Duration age) -> double
    {
        const auto halfLives = std::chrono::duration<double>(std::max<Core::Duration>(age, {}))
            / std::chrono::duration<double>(halfLife);
        return value * std::exp2(-halfLives);
    }

} // namespace

auto ReturnSchedule::recordStart(Core::Instant now) -> void
{
    m_starts = 1 + faded(m_starts, now - m_startedAt);
    m_startedAt = now;
}

auto ReturnSchedule::interval(Core::Instant now) const -> Core::Duration
{
    const double starts = faded(m_starts, now - m_startedAt);
    if (starts <= 0)
        return longestInterval;
    // The sum of a steady rate is the rate times the mean age of what it holds.
    return std::min<Core::Duration>(longestInterval, scaled(halfLife, 1 / (starts * std::numbers::ln2)));
}

auto ReturnSchedule::place(const ReturnRequest& request, double jitter, Core::Instant now)
    -> std::optional<Core::Duration>
{
    auto latest = std::min(request.timeLeft / honouredDivisor, request.timeLeft - request.work);
    if (request.isReturn || latest.count() <= 0)
        return std::nullopt;
    if (request.inTimeLeft > request.wait)
        latest = std::min(latest, request.inTimeLeft);
    const auto step = interval(now);
    auto earliest = std::max(request.wait, m_nextPlace - now);
    // Beyond what callers honour, places are given again: which of the returns find room is not known.
    if (earliest > latest)
        earliest = std::min(request.wait, latest);
    m_nextPlace = now + earliest + step;
    return std::min(earliest + scaled(step, jitter), latest);
}

} // namespace Admission
