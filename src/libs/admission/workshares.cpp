#include "admission/workshares.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

    constexpr Core::Millis halfLife { 2000 };
    /// Number of organisations above which idle ones are forgotten.
    constexpr std::size_t maximumOrganisations = 1024;
    /// Work below which an organisation counts as idle, in microseconds.
    constexpr double idleWork = 1000;

} // namespace

auto WorkShares::Fading::at(Core::Instant now) const -> double
{
    const auto age = std::max<Core::Duration>(now - recordedAt, {});
    return sum * std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife));
}

auto WorkShares::Fading::add(double value, Core::Instant now) -> void
{
    sum = at(now) + value;
    recordedAt = now;
}

auto WorkShares::record(const Demand& demand, Core::Instant now) -> void
{
    if (m_byOrganisation.size() >= maximumOrganisations)
        forgetIdle(now);
    m_activeCountAt = Core::Instant::min();
    const auto work = static_cast<double>(demand.work.count());
    m_byOrganisation[demand.organisation].add(work, now);
    m_byUrgency[demand.urgency].add(work, now);
    m_all.add(work, now);
}

auto WorkShares::forgetIdle(Core::Instant now) -> void
{
    std::erase_if(m_byOrganisation, [now](const auto& item) { return item.second.at(now) < idleWork; });
}

auto WorkShares::isOverFairShare(const Core::OrganisationId& organisation, Core::Instant now) const -> bool
{
    const auto found = m_byOrganisation.find(organisation);
    if (found == m_byOrganisation.end())
        return false;
    const auto active = activeCount(now);
    return active > 1 && found->second.at(now) * static_cast<double>(active) > m_all.at(now);
}

auto WorkShares::activeCount(Core::Instant now) const -> std::ptrdiff_t
{
    if (m_activeCountAt != now) {
        m_activeCount = std::count_if(m_byOrganisation.begin(), m_byOrganisation.end(),
            [now](const auto& item) { return item.second.at(now) >= idleWork; });
        m_activeCountAt = now;
    }
    return m_activeCount;
}

auto WorkShares::shareFrom(const Urgency& urgency, Core::Instant now) const -> double
{
    const double all = m_all.at(now);
    if (all <= 0)
        return 1;
    double sum = 0;
    for (auto item = m_byUrgency.lower_bound(urgency); item != m_byUrgency.end(); ++item)
        sum += item->second.at(now);
    return sum / all;
}

} // namespace Admission
