#pragma once

#include "dispatch/decayingsum.h"

namespace Dispatch {

/// Computes the number of slots that deferrable requests must leave free, so that urgent requests rarely wait for
/// them to finish. It follows the recent urgent load and is zero without any.
class SlotReserve {
public:
    /// Records the arrival of an urgent request with its expected slot time.
    auto recordArrival(Core::Duration serviceTime, Core::Instant now) -> void;
    auto begin() -> void { ++m_inFlight; }
    auto end() -> void { --m_inFlight; }
    /// Returns the number of slots to leave free now, in addition to those that urgent requests already use.
    [[nodiscard]] auto slots(Core::Instant now) const -> std::uint32_t;

private:
    DecayingSum m_recentArrivals;
    std::uint32_t m_inFlight = 0;
};

} // namespace Dispatch
