#pragma once

#include "core/hybridtime.h"
#include "core/ids.h"
#include "ports/eventsink.h"

namespace Timeline {

/// Event of one process with its place on the time line.
struct Entry {
    Core::HybridTime time;
    /// Wall clock of the process, which may be wrong.
    Core::WallTime wall;
    Core::EntryVmId process;
    Ports::Event event;
};

/// Keeps or writes entries; called from several threads and never blocks on I/O.
class EntrySink {
public:
    virtual ~EntrySink() = default;
    virtual auto write(const Entry& entry) -> void = 0;
};

} // namespace Timeline
