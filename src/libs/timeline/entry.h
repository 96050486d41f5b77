#pragma once

#include "core/hybridtime.h"
#include "core/ids.h"
#include "ports/eventsink.h"

namespace Timeline {

/// Event of one process with its position on the timeline.
struct Entry {
    Core::HybridTime time;
    /// Wall clock of the process, which may be wrong.
    Core::WallTime wall;
    Core::EntryVmId process;
    Ports::Event event;
};

/// Stores or writes entries. Thread-safe; never blocks on I/O.
class EntrySink {
public:
    virtual ~EntrySink() = default;
    virtual auto write(const Entry& entry) -> void = 0;
};

} // namespace Timeline
