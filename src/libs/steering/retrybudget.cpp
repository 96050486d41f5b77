#include "steering/retrybudget.h"

#include <algorithm>

namespace Steering {

namespace {

    constexpr double maximumSavedRetries = 32;
    constexpr double oneRetry = 1;
    /// Keeps sums of shares such as 10 * 0.1 from staying just below one retry.
    constexpr double roundingMargin = 1e-9;

} // namespace

auto RetryBudget::countAttempt(Core::Share share) -> void
{
    const std::lock_guard lock(m_mutex);
    m_retries = std::min(maximumSavedRetries, m_retries + share.value());
}

auto RetryBudget::takeRetry() -> bool
{
    const std::lock_guard lock(m_mutex);
    if (m_retries + roundingMargin < oneRetry)
        return false;
    m_retries -= oneRetry;
    return true;
}

} // namespace Steering
