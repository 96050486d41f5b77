#include "dispatch/openrequests.h"

#include "core/invariant.h"

#include <utility>

namespace Dispatch {

auto OpenRequests::tryEnter() -> bool
{
    const std::lock_guard lock(m_mutex);
    if (m_isDraining)
        return false;
    ++m_count;
    return true;
}

auto OpenRequests::leave() -> void
{
    DrainedCallback onDrained;
    {
        const std::lock_guard lock(m_mutex);
        Core::invariant(m_count > 0, "dispatch.open-balanced");
        --m_count;
        if (m_count == 0)
            onDrained = std::exchange(m_onDrained, nullptr);
    }
    if (onDrained)
        onDrained();
}

auto OpenRequests::drain(DrainedCallback callback) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_isDraining = true;
        if (m_count > 0) {
            m_onDrained = std::move(callback);
            return;
        }
    }
    callback();
}

} // namespace Dispatch
