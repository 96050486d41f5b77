#pragma once

#include <atomic>
#include <cstdint>

namespace PeerStream {

/// Counts the traffic between this process and other entry VMs. Byte counts exclude TCP and IP headers.
struct TrafficCounters {
    std::atomic<std::uint64_t> sentBytes { 0 };
    std::atomic<std::uint64_t> receivedBytes { 0 };
    /// Number of calls that this process sent.
    std::atomic<std::uint64_t> calls { 0 };
};

} // namespace PeerStream
