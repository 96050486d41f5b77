#pragma once

#include "core/units.h"

#include <array>
#include <cstdint>
#include <mutex>

namespace Forwarding {

/// This entry VM's share of the fleet-wide retry budget.
struct RetryAllowance {
    /// Retries per first send.
    double ratio = 0.1;
    /// Additional retries in each window.
    double slack = 4;
};

/// Limits the retries to one service in a sliding window of ten seconds.
class RollingRetryBudget {
public:
    auto recordRequest(Core::Instant now) -> void;
    /// Takes one retry from the budget. Returns false if the budget of the window is exhausted.
    [[nodiscard]] auto tryTake(const RetryAllowance& allowance, Core::Instant now) -> bool;

private:
    static constexpr std::size_t bucketCount = 11;
    static constexpr Core::Millis bucketWidth { 1000 };

    struct Bucket {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    auto bucketAt(Core::Instant now) -> Bucket&;

    std::mutex m_mutex;
    std::array<Bucket, bucketCount> m_buckets {};
};

} // namespace Forwarding
