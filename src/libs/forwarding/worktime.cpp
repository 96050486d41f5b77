#include "forwarding/worktime.h"

#include <algorithm>

namespace Forwarding {

namespace {

    /// Share of the newest time in the mean.
    constexpr double newestShare = 0.1;
    /// Work on an unknown object takes at least so many times as long.
    constexpr double leastColdRatio = 1.2;
    /// Parts of the target latency that work is assumed to take before it was measured.
    constexpr double assumedWarmShare = 0.5;
    constexpr double assumedColdShare = 1.6;

    auto toDuration(double micros) -> Core::Duration
    {
        return Core::Duration(static_cast<Core::Duration::rep>(micros));
    }

} // namespace

auto WorkTime::assume(Core::Duration targetLatency) -> void
{
    if (m_isAssumed)
        return;
    m_isAssumed = true;
    const auto micros = static_cast<double>(targetLatency.count());
    m_warm.micros = micros * assumedWarmShare;
    m_plain.micros = micros * assumedWarmShare;
    m_cold.micros = micros * assumedColdShare;
}

auto WorkTime::record(Core::Duration time, Familiarity familiarity) -> void
{
    const auto micros = static_cast<double>(time.count());
    // Another entry VM may have brought an object that was taken for unknown, and the first work for an object that
    // this entry VM takes for known may still be to come.
    const bool looksWarm = micros < (m_warm.micros + m_cold.micros) / 2;
    if (familiarity == Familiarity::Plain)
        m_plain.add(micros);
    else if (looksWarm)
        m_warm.add(micros);
    else
        m_cold.add(micros);
    m_cold.micros = std::max(m_cold.micros, m_warm.micros * leastColdRatio);
}

auto WorkTime::Mean::add(double value) -> void
{
    ++samples;
    micros += std::max(newestShare, 1.0 / samples) * (value - micros);
}

auto WorkTime::mean(Familiarity familiarity) const -> Core::Duration
{
    switch (familiarity) {
    case Familiarity::Warm:
        return toDuration(m_warm.micros);
    case Familiarity::Cold:
        return toDuration(m_cold.micros);
    case Familiarity::Plain:
        break;
    }
    return toDuration(m_plain.micros);
}

} // namespace Forwarding
