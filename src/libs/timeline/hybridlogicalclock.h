#pragma once

#include "ports/causalclock.h"
#include "ports/clock.h"

#include <mutex>

namespace Timeline {

/// Remote timestamps that are further ahead of the local wall clock than this are ignored, so that one wrong clock
/// cannot advance the clocks of the whole fleet.
inline constexpr Core::Millis maximumClockLead { 10 * 60 * 1000 };

/// Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014) based on the wall clock.
class HybridLogicalClock : public Ports::CausalClock {
public:
    explicit HybridLogicalClock(const Ports::Clock& clock);

    auto stamp() -> Core::HybridTime override;
    auto observe(const Core::HybridTime& remote) -> void override;

private:
    const Ports::Clock& m_clock;
    std::mutex m_mutex;
    Core::HybridTime m_last;
};

} // namespace Timeline
