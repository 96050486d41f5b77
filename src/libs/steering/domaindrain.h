#pragma once

#include "configuration/steeringconfiguration.h"

#include <mutex>
#include <optional>

namespace Steering {

enum class DrainPhase : std::uint8_t {
    Serving,
    /// The share of the failure domain in look-up answers falls in capped steps; cached answers still lead to
    /// requests.
    WithdrawingFromAnswers,
    /// No unexpired look-up answer names the failure domain.
    RefusingNewWork,
};

/// Tracks the drain of this entry VM's failure domain.
class DomainDrain {
public:
    explicit DomainDrain(Core::FailureDomainId failureDomain);

    auto phase(Core::Instant now, const Configuration::SteeringConfiguration& configuration) -> DrainPhase;

private:
    const Core::FailureDomainId m_failureDomain;
    std::mutex m_mutex;
    std::optional<Core::Instant> m_drainedSince;
};

/// Returns the time in which capped steps remove an entire failure domain from look-up answers and the last answer
/// that names it expires.
auto answerWithdrawalTime(const Configuration::SteeringConfiguration& configuration) -> Core::Duration;

} // namespace Steering
