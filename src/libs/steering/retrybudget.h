#pragma once

#include "core/units.h"

#include <mutex>

namespace Steering {

/// Token bucket that limits retries to a share of the first attempts, so that failures do not multiply the load.
class RetryBudget {
public:
    /// Adds the tokens for a first attempt: the given share of a retry.
    auto countFirstAttempt(Core::Share share) -> void;
    /// Takes one token. Returns false if the budget is exhausted.
    auto tryTake() -> bool;

private:
    std::mutex m_mutex;
    double m_retries = 0;
};

} // namespace Steering
