#pragma once

#include "core/units.h"

namespace Dispatch {

/// Token bucket that limits retries to a share of the first attempts.
class RetryBudget {
public:
    /// Adds the tokens for a first attempt: the given share of a retry.
    auto countFirstAttempt(Core::Share share) -> void;
    /// Takes one token. Returns false if the budget is exhausted.
    [[nodiscard]] auto tryTake() -> bool;

private:
    /// Maximum number of retries that the bucket holds.
    static constexpr double capacity = 10;

    double m_tokens = capacity;
};

} // namespace Dispatch
