#pragma once

#include "ports/causalclock.h"
#include "ports/clock.h"
#include "timeline/entry.h"

#include <vector>

namespace Timeline {

/// Longer field values are truncated, which bounds the memory of the timeline.
inline constexpr std::size_t maximumFieldLength = 256;

/// Assigns each event its position on the timeline and passes it to every sink.
class Recorder : public Ports::EventSink {
public:
    struct Clocks {
        const Ports::Clock& wall;
        Ports::CausalClock& causal;
    };

    Recorder(Core::EntryVmId process, Clocks clocks, std::vector<EntrySink*> sinks);

    auto record(Ports::Event event) -> void override;

private:
    Core::EntryVmId m_process;
    Clocks m_clocks;
    std::vector<EntrySink*> m_sinks;
};

} // namespace Timeline
