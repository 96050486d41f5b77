#include "steering/retrybudget.h"

#include <algorithm>

namespace Steering {

namespace {

    constexpr double maximumSavedRetries = 32;
    constexpr double oneRetry = 1;
    /// Allows for rounding: a sum of shares such as 10 * 0.1 may be slightly below one retry.
    constexpr double roundingMargin = 1e-9;

} // namespace

auto RetryBudget::countFirstAttempt(Core::Share share) -> void
{
    const std::lock_guard lock(m_mutex);
    m_retries = std::min(maximumSavedRetries, m_retries + share.value());
}

auto RetryBudget::tryTake() -> bool
{
    const std::lock_guard lock(m_mutex);
    if (m_retries + roundingMargin < oneRetry)
        return false;
    m_retries -= oneRetry;
    return true;
}

} // namespace Steering
