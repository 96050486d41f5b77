#pragma once

#include "core/units.h"

namespace Dispatch {

/// Exponentially decaying sum of slot time, used to estimate the recent load in slots.
class DecayingSum {
public:
    auto add(Core::Duration slotTime, Core::Instant now) -> void;
    /// Returns the average number of slots that the recent additions keep busy.
    [[nodiscard]] auto slots(Core::Instant now) const -> double;

private:
    [[nodiscard]] auto decayedMicros(Core::Instant now) const -> double;

    double m_micros = 0;
    Core::Instant m_updatedAt;
};

} // namespace Dispatch
