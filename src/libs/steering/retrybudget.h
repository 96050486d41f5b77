#pragma once

#include "core/units.h"

#include <mutex>

namespace Steering {

/// Limits retries to a share of the first attempts, so that failures do not multiply the load.
class RetryBudget {
public:
    /// Adds the share of a retry that one first attempt allows.
    auto countFirstAttempt(Core::Share share) -> void;
    /// Consumes one retry. Returns false if none is left.
    auto tryTake() -> bool;

private:
    std::mutex m_mutex;
    double m_retries = 0;
};

} // namespace Steering
