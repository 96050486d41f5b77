#include "dispatch/decayingsum.h"

#include <cmath>

namespace Dispatch {

namespace {

    /// Time after which the weight of an addition has decayed to 1/e.
    constexpr Core::Duration timeConstant = std::chrono::seconds(2);

    auto micros(Core::Duration duration) -> double { return static_cast<double>(duration.count()); }

} // namespace

auto DecayingSum::add(Core::Duration slotTime, Core::Instant now) -> void
{
    m_micros = decayedMicros(now) + micros(slotTime);
    m_updatedAt = now;
}

auto DecayingSum::slots(Core::Instant now) const -> double { return decayedMicros(now) / micros(timeConstant); }

auto DecayingSum::decayedMicros(Core::Instant now) const -> double
{
    return m_micros * std::exp(-micros(now - m_updatedAt) / micros(timeConstant));
}

} // namespace Dispatch
