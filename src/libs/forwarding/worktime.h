#pragma once

#include "core/units.h"

namespace Forwarding {

/// What is known of an object at the upstream that works for it.
enum class Familiarity : std::uint8_t {
    /// The upstream has handled the object lately.
    Warm,
    /// The upstream does not know the object.
    Cold,
    /// The request is about no object.
    Plain,
};

/// Moving means of the time that a service's upstreams take for a request.
class WorkTime {
public:
    /// Sets what is assumed before anything was measured.
    auto assume(Core::Duration targetLatency) -> void;
    auto record(Core::Duration time, Familiarity familiarity) -> void;
    [[nodiscard]] auto mean(Familiarity familiarity) const -> Core::Duration;
    [[nodiscard]] auto warm() const -> Core::Duration { return mean(Familiarity::Warm); }
    [[nodiscard]] auto cold() const -> Core::Duration { return mean(Familiarity::Cold); }

private:
    struct Mean {
        /// The first value replaces what was assumed.
        auto add(double value) -> void;

        double micros = 0;
        std::uint32_t samples = 0;
    };

    bool m_isAssumed = false;
    Mean m_warm;
    Mean m_cold;
    Mean m_plain;
};

} // namespace Forwarding
