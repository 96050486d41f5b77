#pragma once

#include "steering/lookuptable.h"

#include <memory>
#include <mutex>

namespace Steering {

/// Holds the current table of client blocks, which is empty until one has been loaded.
class LookupTableHolder {
public:
    /// Never returns null.
    [[nodiscard]] auto current() const -> std::shared_ptr<const LookupTable>
    {
        const std::lock_guard lock(m_mutex);
        return m_current;
    }

    auto replace(LookupTable table) -> void
    {
        auto next = std::make_shared<const LookupTable>(std::move(table));
        const std::lock_guard lock(m_mutex);
        m_current.swap(next);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const LookupTable> m_current = std::make_shared<const LookupTable>();
};

} // namespace Steering
