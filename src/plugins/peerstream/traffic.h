#pragma once

#include <atomic>
#include <cstdint>

namespace PeerStream {

/// What this process exchanged with other entry VMs, in bytes of the streams without TCP and IP headers.
struct Traffic {
    std::atomic<std::uint64_t> sentBytes { 0 };
    std::atomic<std::uint64_t> receivedBytes { 0 };
    /// Messages that this process sent as calls.
    std::atomic<std::uint64_t> calls { 0 };
};

} // namespace PeerStream
