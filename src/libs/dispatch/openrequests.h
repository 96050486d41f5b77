#pragma once

#include <cstddef>
#include <functional>
#include <mutex>

namespace Dispatch {

/// Counts the requests that still need a reply, so that a graceful stop can wait for the last one.
class OpenRequests {
public:
    using DrainedCallback = std::function<void()>;

    /// False once draining has begun. Each true needs a leave().
    [[nodiscard]] auto tryEnter() -> bool;
    auto leave() -> void;
    /// Lets nothing more in; calls back once, when the last request has left.
    auto drain(DrainedCallback callback) -> void;

private:
    std::mutex m_mutex;
    std::size_t m_count = 0;
    bool m_isDraining = false;
    DrainedCallback m_onDrained;
};

} // namespace Dispatch
