#pragma once

#include "core/units.h"

namespace Dispatch {

/// Token bucket that limits retries to a share of the first attempts.
class RetryBudget {
public:
    /// A first attempt earns this share of a retry.
    auto addAttempt(Core::Share share) -> void;
    /// Takes one retry; false when the budget is spent.
    [[nodiscard]] auto tryTake() -> bool;

private:
    /// Retries that may be saved up.
    static constexpr double capacity = 10;

    double m_tokens = capacity;
};

} // namespace Dispatch
