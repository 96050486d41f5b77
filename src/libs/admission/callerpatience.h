#pragma once

#include "core/units.h"

namespace Admission {

/// Time that the callers of one route usually allow. A caller that allows less has most likely been refused before:
/// what it allows is what it has left. Its request is then as old as the difference.
class CallerPatience {
public:
    auto record(Core::Duration timeLeft, Core::Instant now) -> void;
    /// Returns the time since the caller first asked.
    [[nodiscard]] auto elapsed(Core::Duration timeLeft) const -> Core::Duration;

private:
    Core::Duration m_longest {};
    Core::Duration m_longestBefore {};
    Core::Instant m_periodStart;
};

} // namespace Admission
