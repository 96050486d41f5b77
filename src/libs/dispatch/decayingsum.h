#pragma once

#include "core/units.h"

namespace Dispatch {

/// Sum of slot time in which older parts count less and less, and with it the recent load in slots.
class DecayingSum {
public:
    auto add(Core::Duration slotTime, Core::Instant now) -> void;
    /// Slots that the recent additions would keep busy.
    [[nodiscard]] auto slots(Core::Instant now) const -> double;

private:
    [[nodiscard]] auto decayedMicros(Core::Instant now) const -> double;

    double m_micros = 0;
    Core::Instant m_updatedAt;
};

} // namespace Dispatch
