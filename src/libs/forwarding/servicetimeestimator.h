#pragma once

#include "core/units.h"

namespace Forwarding {

/// State of the object of a request in the cache of an upstream.
enum class CacheState : std::uint8_t {
    /// The upstream has handled the object recently.
    Warm,
    /// The upstream does not have the object cached.
    Cold,
    /// The request concerns no object.
    NoObject,
};

/// Estimates the time that the upstreams of a service take for a request, as one moving average per cache state.
class ServiceTimeEstimator {
public:
    /// Sets the initial estimates that apply until times are recorded; only the first call has an effect.
    auto setInitialEstimate(Core::Duration targetLatency) -> void;
    auto record(Core::Duration time, CacheState cacheState) -> void;
    /// Lets the next recorded time of each cache state replace the estimate for it.
    auto replaceWithNext() -> void;
    [[nodiscard]] auto mean(CacheState cacheState) const -> Core::Duration;
    /// Returns the mean over the cache states, in the proportion in which they occurred lately.
    [[nodiscard]] auto mixed() const -> Core::Duration;
    [[nodiscard]] auto warm() const -> Core::Duration { return mean(CacheState::Warm); }
    [[nodiscard]] auto cold() const -> Core::Duration { return mean(CacheState::Cold); }

private:
    struct Mean {
        /// The first value replaces the initial estimate.
        auto add(double value) -> void;

        double micros = 0;
        std::uint32_t samples = 0;
    };

    bool m_hasInitialEstimate = false;
    /// Shares of the recent times.
    double m_coldShare = 0;
    double m_noObjectShare = 0;
    Mean m_warm;
    Mean m_cold;
    Mean m_noObject;
};

} // namespace Forwarding
