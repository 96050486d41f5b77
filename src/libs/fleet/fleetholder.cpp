#include "fleet/fleetholder.h"

namespace Fleet {

auto FleetHolder::current() const -> std::shared_ptr<const FleetList>
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

auto FleetHolder::offer(FleetList list) -> bool
{
    auto candidate = std::make_shared<const FleetList>(std::move(list));
    const std::lock_guard lock(m_mutex);
    if (candidate->version <= m_current->version)
        return false;
    m_current = std::move(candidate);
    return true;
}

} // namespace Fleet
