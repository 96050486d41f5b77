#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <sys/types.h>

namespace BenchFleet {

/// Resource usage of an entry VM process since its start.
struct ProcessUsage {
    double processorSeconds = 0;
    Core::Bytes residentMemory;
    Core::Bytes peerBytesSent;
    Core::Bytes peerBytesReceived;
    std::uint64_t peerCalls = 0;
};

/// Reads the usage of a process from /proc and from its metrics endpoint. Throws std::runtime_error if either is not
/// available.
auto readUsage(pid_t pid, const Core::Address& address) -> ProcessUsage;

} // namespace BenchFleet
