#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <vector>

namespace Fleet {

/// Load of one service as the entry VM that dispatches it counts it.
struct ServiceLoad {
    Core::ServiceId service;
    /// Slots of the upstreams that can take work now.
    Core::SlotCount usableSlots;
    Core::SlotCount busySlots;
    /// Requests that wait for a slot.
    std::uint32_t queued = 0;
    /// Mean time that an upstream takes for one request.
    Core::Duration meanServiceTime {};
};

/// Where heartbeats and credits read the own load; safe to call from several threads.
class LoadSource {
public:
    virtual ~LoadSource() = default;
    [[nodiscard]] virtual auto serviceLoads() const -> std::vector<ServiceLoad> = 0;
};

} // namespace Fleet
