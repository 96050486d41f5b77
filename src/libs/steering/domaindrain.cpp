#include "steering/domaindrain.h"

#include <algorithm>
#include <cmath>

namespace Steering {

namespace {

    constexpr double smallestCap = 0.001;
    /// A step may come this much later than the lifetime allows.
    constexpr Core::Millis stepDelay { 500 };

} // namespace

DomainDrain::DomainDrain(Core::FailureDomainId failureDomain)
    : m_failureDomain(std::move(failureDomain))
{
}

auto DomainDrain::phase(Core::Instant now, const Configuration::SteeringConfiguration& configuration) -> DrainPhase
{
    const std::lock_guard lock(m_mutex);
    if (!configuration.drained.contains(m_failureDomain)) {
        m_drainedSince.reset();
        return DrainPhase::Serving;
    }
    if (!m_drainedSince)
        m_drainedSince = now;
    return now - *m_drainedSince >= timeToLeaveAnswers(configuration) ? DrainPhase::NoNewWork
                                                                      : DrainPhase::LeavingAnswers;
}

auto timeToLeaveAnswers(const Configuration::SteeringConfiguration& configuration) -> Core::Duration
{
    const auto steps = std::ceil(1 / std::max(configuration.movementCap.value(), smallestCap));
    return (configuration.lookupLifetime + stepDelay) * (static_cast<std::int64_t>(steps) + 1);
}

} // namespace Steering
