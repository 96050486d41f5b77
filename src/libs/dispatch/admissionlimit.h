#pragma once

#include "core/rank.h"

#include <cstddef>
#include <mutex>

namespace Dispatch {

/// Bounds the requests that one process holds over all services. Lower ranks may fill a part only, so that a flood of
/// them leaves room for urgent requests.
class AdmissionLimit {
public:
    explicit AdmissionLimit(std::size_t limit);

    /// Each true needs a leave().
    [[nodiscard]] auto tryEnter(Core::Rank rank) -> bool;
    auto leave() -> void;

private:
    const std::size_t m_limit;
    std::mutex m_mutex;
    std::size_t m_held = 0;
};

} // namespace Dispatch
