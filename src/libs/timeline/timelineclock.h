#pragma once

#include "ports/causalclock.h"
#include "ports/clock.h"

#include <mutex>

namespace Timeline {

/// Remote stamps further ahead of the own wall clock than this are not taken over: one wrong clock must not pull the
/// clocks of the whole fleet with it.
inline constexpr Core::Millis maximumClockLead { 10 * 60 * 1000 };

/// Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014) on top of the wall clock.
class TimelineClock : public Ports::CausalClock {
public:
    explicit TimelineClock(const Ports::Clock& clock);

    auto stamp() -> Core::HybridTime override;
    auto observe(const Core::HybridTime& remote) -> void override;

private:
    const Ports::Clock& m_clock;
    std::mutex m_mutex;
    Core::HybridTime m_last;
};

} // namespace Timeline
