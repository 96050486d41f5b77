#pragma once

#include "core/units.h"

#include <map>

namespace Forwarding {

/// Decides which priorities may queue at the upstreams of a shared service. While urgent requests are refused or
/// expected to be late, less urgent requests may not queue and only use free slots.
class QueueAdmission {
public:
    /// Records that a request of the priority was refused or is expected to be late; 0 is the most urgent.
    auto recordShortage(int priority, Core::Instant now) -> void;
    [[nodiscard]] auto mayQueue(int priority, Core::Instant now) const -> bool;

private:
    std::map<int, Core::Instant> m_lastShortage;
};

} // namespace Forwarding
