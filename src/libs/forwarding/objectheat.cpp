#include "forwarding/objectheat.h"

namespace Forwarding {

namespace {

    /// Interval at which all counts are halved.
    constexpr Core::Millis halfLife { 4000 };
    /// Counts below are dropped.
    constexpr double leastCount = 0.1;

} // namespace

auto ObjectHeat::record(const ObjectKey& object, Core::Instant now) -> void
{
    if (now - m_halvedAt >= halfLife)
        halve(now);
    ++m_counts[object];
    ++m_total;
}

auto ObjectHeat::halve(Core::Instant now) -> void
{
    m_halvedAt = now;
    m_total = 0;
    for (auto& [object, count] : m_counts)
        count /= 2;
    std::erase_if(m_counts, [](const auto& item) { return item.second < leastCount; });
    for (const auto& [object, count] : m_counts)
        m_total += count;
}

auto ObjectHeat::share(const ObjectKey& object) const -> double
{
    const auto found = m_counts.find(object);
    return found == m_counts.end() ? 0 : found->second / m_total;
}

} // namespace Forwarding
