#pragma once

#include "core/units.h"

namespace Forwarding {

/// Estimates how long work takes on the machine of one upstream, relative to the usual time. Others use the machine in
/// short bursts: a report says much about the next moments and nothing about the time after them, so that its effect
/// fades with its age.
class WorkTimeEstimator {
public:
    auto record(Core::Percent workTime, Core::Instant now) -> void;
    /// Returns the factor by which work takes longer than usual; 1 if nothing is known.
    [[nodiscard]] auto factor(Core::Instant now) const -> double;

private:
    double m_factor = 1;
    Core::Instant m_recordedAt;
};

} // namespace Forwarding
