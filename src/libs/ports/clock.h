#pragma once

#include "core/units.h"

namespace Ports {

/// Source of time for decisions.
class Clock {
public:
    virtual ~Clock() = default;
    [[nodiscard]] virtual auto now() const -> Core::Instant = 0;
    /// Returns the wall clock time, for timelines only; decisions never depend on it.
    [[nodiscard]] virtual auto wallTime() const -> Core::WallTime = 0;
};

} // namespace Ports
