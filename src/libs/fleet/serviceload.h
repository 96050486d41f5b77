#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <vector>

namespace Fleet {

/// Load of one service, as measured by the entry VM that dispatches its requests.
struct ServiceLoad {
    Core::ServiceId service;
    /// Slots of the upstreams that can accept requests now.
    Core::SlotCount usableSlots;
    Core::SlotCount busySlots;
    /// Number of requests that wait for a slot.
    std::uint32_t queued = 0;
    /// Mean time for which an upstream processes one request.
    Core::Duration meanServiceTime {};
};

/// Provides the load of this entry VM for heartbeats and credits. Thread-safe.
class LoadSource {
public:
    virtual ~LoadSource() = default;
    [[nodiscard]] virtual auto serviceLoads() const -> std::vector<ServiceLoad> = 0;
};

} // namespace Fleet
