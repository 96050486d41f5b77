#pragma once

#include "dispatch/decayingsum.h"

namespace Dispatch {

/// Slots that deferrable work leaves free so that an urgent request rarely waits for it to end. Follows the
/// recent urgent load; zero without one.
class SlotReserve {
public:
    /// Counts an urgent request and the slot time that it is expected to use.
    auto recordArrival(Core::Duration serviceTime, Core::Instant now) -> void;
    auto begin() -> void { ++m_inFlight; }
    auto end() -> void { --m_inFlight; }
    /// Slots to leave free now, beyond those that urgent requests use already.
    [[nodiscard]] auto slots(Core::Instant now) const -> std::uint32_t;

private:
    DecayingSum m_recentArrivals;
    std::uint32_t m_inFlight = 0;
};

} // namespace Dispatch
