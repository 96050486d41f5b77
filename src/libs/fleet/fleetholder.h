#pragma once

#include "fleet/fleetlist.h"

#include <memory>
#include <mutex>

namespace Fleet {

/// Where decisions read the newest known fleet list; safe to call from several threads.
class FleetSource {
public:
    virtual ~FleetSource() = default;
    /// Never null.
    [[nodiscard]] virtual auto current() const -> std::shared_ptr<const FleetList> = 0;
};

/// Keeps the newest fleet list; its version never goes down.
class FleetHolder : public FleetSource {
public:
    [[nodiscard]] auto current() const -> std::shared_ptr<const FleetList> override;
    /// Takes the list if it is newer than the current one. Returns whether it was taken.
    auto offer(FleetList list) -> bool;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const FleetList> m_current = std::make_shared<const FleetList>();
};

} // namespace Fleet
