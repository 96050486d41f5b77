#include "dispatch/retrybudget.h"

#include <algorithm>

namespace Dispatch {

auto RetryBudget::countFirstAttempt(Core::Share share) -> void
{
    m_tokens = std::min(capacity, m_tokens + share.value());
}

auto RetryBudget::tryTake() -> bool
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace Dispatch
