#pragma once

#include "core/units.h"

#include <map>

namespace Forwarding {

/// Whose requests may wait at upstreams when kinds of different urgency share a service: while urgent work finds no
/// room or comes late, less urgent work leaves the queues to it and only takes slots that are free.
class RankedRoom {
public:
    /// A request of the priority was refused, or is expected late; 0 is the most urgent.
    auto noteShortage(int priority, Core::Instant now) -> void;
    [[nodiscard]] auto mayWait(int priority, Core::Instant now) const -> bool;

private:
    std::map<int, Core::Instant> m_lastShortage;
};

} // namespace Forwarding
