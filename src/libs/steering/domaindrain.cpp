#include "steering/domaindrain.h"

#include <algorithm>
#include <cmath>

namespace Steering {

namespace {

    constexpr double minimumCap = 0.001;
    /// Maximum delay of a step after the lifetime of the look-up answers has passed.
    constexpr Core::Millis maximumStepDelay { 500 };

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
    return now - *m_drainedSince >= answerWithdrawalTime(configuration) ? DrainPhase::RefusingNewWork
                                                                        : DrainPhase::WithdrawingFromAnswers;
}

auto answerWithdrawalTime(const Configuration::SteeringConfiguration& configuration) -> Core::Duration
{
    const auto steps = std::ceil(1 / std::max(configuration.movementCap.value(), minimumCap));
    return (configuration.lookupLifetime + maximumStepDelay) * (static_cast<std::int64_t>(steps) + 1);
}

} // namespace Steering
