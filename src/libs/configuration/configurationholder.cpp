#include "configuration/configurationholder.h"

#include "core/invariant.h"

namespace Configuration {

auto ConfigurationHolder::current() const -> std::shared_ptr<const SteeringConfiguration>
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

auto ConfigurationHolder::offer(SteeringConfiguration configuration) -> bool
{
    auto candidate = std::make_shared<const SteeringConfiguration>(std::move(configuration));
    const std::lock_guard lock(m_mutex);
    if (candidate->version <= m_current->version)
        return false;
    Core::invariant(m_current->version < candidate->version, "configuration.version-never-decreases");
    m_current = std::move(candidate);
    return true;
}

} // namespace Configuration
