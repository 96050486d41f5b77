#pragma once

#include "core/units.h"

#include <mutex>

namespace Steering {

/// Limits retries to a share of the first attempts, so that failures do not multiply the load.
class RetryBudget {
public:
    /// Adds the share that one first attempt earns.
    auto countAttempt(Core::Share share) -> void;
    /// Takes one retry. False when none is left.
    auto takeRetry() -> bool;

private:
    std::mutex m_mutex;
    double m_retries = 0;
};

} // namespace Steering
