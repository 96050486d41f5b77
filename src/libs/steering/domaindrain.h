#pragma once

#include "configuration/steeringconfiguration.h"

#include <mutex>
#include <optional>

namespace Steering {

enum class DrainPhase : std::uint8_t {
    Serving,
    /// Leaves the look-up answers by capped steps, while cached answers still bring requests.
    LeavingAnswers,
    /// No answer that is still out names the failure domain.
    NoNewWork,
};

/// How far the drain of the own failure domain has come.
class DomainDrain {
public:
    explicit DomainDrain(Core::FailureDomainId failureDomain);

    auto phase(Core::Instant now, const Configuration::SteeringConfiguration& configuration) -> DrainPhase;

private:
    const Core::FailureDomainId m_failureDomain;
    std::mutex m_mutex;
    std::optional<Core::Instant> m_drainedSince;
};

/// Time in which capped steps take a whole failure domain out of the answers, and the last of them expires.
auto timeToLeaveAnswers(const Configuration::SteeringConfiguration& configuration) -> Core::Duration;

} // namespace Steering
