#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <sys/types.h>

namespace BenchFleet {

/// What one entry VM's process has used since it started.
struct ProcessUsage {
    double processorSeconds = 0;
    Core::Bytes residentMemory;
    Core::Bytes peerBytesSent;
    Core::Bytes peerBytesReceived;
    std::uint64_t peerCalls = 0;
};

/// Reads the kernel's figures of the process and the metrics that it serves; throws std::runtime_error.
auto readUsage(pid_t pid, const Core::Address& address) -> ProcessUsage;

} // namespace BenchFleet
