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
    m_warmMicros = micros * assumedWarmShare;
    m_plainMicros = micros * assumedWarmShare;
    m_coldMicros = micros * assumedColdShare;
}

auto WorkTime::record(Core::Duration time, Familiarity familiarity) -> void
{
    const auto micros = static_cast<double>(time.count());
    // An object that was taken for unknown may have been brought there by another entry VM.
    const bool looksWarm = micros < (m_warmMicros + m_coldMicros) / 2;
    if (familiarity == Familiarity::Cold && looksWarm)
        familiarity = Familiarity::Warm;
    auto& mean = familiarity == Familiarity::Plain ? m_plainMicros
                                                   : (familiarity == Familiarity::Warm ? m_warmMicros : m_coldMicros);
    mean += newestShare * (micros - mean);
    m_coldMicros = std::max(m_coldMicros, m_warmMicros * leastColdRatio);
}

auto WorkTime::mean(Familiarity familiarity) const -> Core::Duration
{
    switch (familiarity) {
    case Familiarity::Warm:
        return toDuration(m_warmMicros);
    case Familiarity::Cold:
        return toDuration(m_coldMicros);
    case Familiarity::Plain:
        break;
    }
    return toDuration(m_plainMicros);
}

} // namespace Forwarding
