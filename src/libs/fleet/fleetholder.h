#pragma once

#include "fleet/fleetlist.h"

#include <memory>
#include <mutex>

namespace Fleet {

/// Provides the newest known fleet list. Thread-safe.
class FleetSource {
public:
    virtual ~FleetSource() = default;
    /// Returns the newest known list, never null.
    [[nodiscard]] virtual auto current() const -> std::shared_ptr<const FleetList> = 0;
};

/// Holds the newest fleet list. Its version never decreases.
class FleetHolder : public FleetSource {
public:
    [[nodiscard]] auto current() const -> std::shared_ptr<const FleetList> override;
    /// Replaces the current list if the given one is newer. Returns true if it did so.
    auto offer(FleetList list) -> bool;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const FleetList> m_current = std::make_shared<const FleetList>();
};

} // namespace Fleet
