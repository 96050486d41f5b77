#pragma once

#include "core/units.h"

#include <array>
#include <cstdint>
#include <mutex>

namespace Forwarding {

/// Part of the fleet's allowance of repeated sends that this entry VM may use.
struct RetryAllowance {
    /// Repeats for each first send.
    double ratio = 0.1;
    /// Repeats beside that in each window.
    double slack = 4;
};

/// Limits repeated sends to one service in every window of ten seconds.
class RollingRetryBudget {
public:
    auto recordRequest(Core::Instant now) -> void;
    /// Takes one repeat; false when the window's allowance is used up.
    [[nodiscard]] auto tryTake(const RetryAllowance& allowance, Core::Instant now) -> bool;

private:
    static constexpr std::size_t bucketCount = 11;
    static constexpr Core::Millis bucketTime { 1000 };

    struct Bucket {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    auto bucketAt(Core::Instant now) -> Bucket&;

    std::mutex m_mutex;
    std::array<Bucket, bucketCount> m_buckets {};
};

} // namespace Forwarding
