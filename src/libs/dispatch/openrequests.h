#pragma once

#include <cstddef>
#include <functional>
#include <mutex>

namespace Dispatch {

/// Counts the requests without a reply, so that a graceful shutdown can wait for the last one.
class OpenRequests {
public:
    using DrainedCallback = std::function<void()>;

    /// Returns false once draining has begun. Each call that returns true requires a leave().
    [[nodiscard]] auto tryEnter() -> bool;
    auto leave() -> void;
    /// Admits no more requests, and invokes the callback once, when no request is open any more.
    auto drain(DrainedCallback callback) -> void;

private:
    std::mutex m_mutex;
    std::size_t m_count = 0;
    bool m_isDraining = false;
    DrainedCallback m_onDrained;
};

} // namespace Dispatch
