#include "forwarding/worktime.h"

#include <algorithm>

namespace Forwarding {

namespace {

    /// Share of the newest time in the mean.
    constexpr double newestShare = 0.1;
    /// Work on an unknown object takes at least so many times as long.
    constexpr double leastColdRatio = 1.2;

    auto toDuration(double micros) -> Core::Duration
    {
        return Core::Duration(static_cast<Core::Duration::rep>(micros));
    }

} // namespace

auto WorkTime::record(Core::Duration time, bool wasWarm) -> void
{
    auto& mean = wasWarm ? m_warmMicros : m_coldMicros;
    mean += newestShare * (static_cast<double>(time.count()) - mean);
    m_coldMicros = std::max(m_coldMicros, m_warmMicros * leastColdRatio);
}

auto WorkTime::warm() const -> Core::Duration { return toDuration(m_warmMicros); }

auto WorkTime::cold() const -> Core::Duration { return toDuration(m_coldMicros); }

auto WorkTime::looksWarm(Core::Duration time) const -> bool
{
    return static_cast<double>(time.count()) < (m_warmMicros + m_coldMicros) / 2;
}

} // namespace Forwarding
