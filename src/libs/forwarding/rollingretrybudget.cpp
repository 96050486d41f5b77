#include "forwarding/rollingretrybudget.h"

namespace Forwarding {

auto RollingRetryBudget::bucketAt(Core::Instant now) -> Bucket&
{
    const auto number = now.time_since_epoch() / std::chrono::duration_cast<Core::Duration>(bucketWidth);
    auto& bucket = m_buckets.at(static_cast<std::size_t>(number) % bucketCount);
    if (bucket.number != number)
        bucket = { number, 0, 0 };
    return bucket;
}

auto RollingRetryBudget::recordRequest(Core::Instant now) -> void
{
    const std::lock_guard lock(m_mutex);
    ++bucketAt(now).requests;
}

auto RollingRetryBudget::tryTake(const RetryAllowance& allowance, Core::Instant now) -> bool
{
    const std::lock_guard lock(m_mutex);
    auto& current = bucketAt(now);
    const auto oldest = current.number - static_cast<std::int64_t>(bucketCount) + 1;
    double requests = 0;
    double retries = 0;
    for (const auto& bucket : m_buckets) {
        if (bucket.number < oldest)
            continue;
        requests += bucket.requests;
        retries += bucket.retries;
    }
    if (retries + 1 > allowance.ratio * requests + allowance.slack)
        return false;
    ++current.retries;
    return true;
}

} // namespace Forwarding
