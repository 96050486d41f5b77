#pragma once

#include "core/rank.h"

#include <cstddef>
#include <mutex>

namespace Dispatch {

/// Limits the number of requests that one process holds over all services. Lower ranks may use only part of the limit,
/// so that a flood of low-rank requests leaves room for urgent ones.
class AdmissionLimit {
public:
    explicit AdmissionLimit(std::size_t limit);

    /// Returns false if the rank's part of the limit is used up. Each call that returns true requires a leave().
    [[nodiscard]] auto tryEnter(Core::Rank rank) -> bool;
    auto leave() -> void;

private:
    const std::size_t m_limit;
    std::mutex m_mutex;
    std::size_t m_held = 0;
};

} // namespace Dispatch
