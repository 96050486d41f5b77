#pragma once

#include "core/units.h"

namespace Admission {

/// Mean load of the other entry VMs on an upstream of one service, in requests per slot, as upstreams report it.
///
/// Answers the load of a wave that has passed: a VM that took its last reports at the peak and refuses requests because
/// of them gets no further report. What it knows therefore fades, so that it sends again and learns.
class OthersLoad {
public:
    auto record(double requestsPerSlot, Core::Instant now) -> void;
    [[nodiscard]] auto perSlot(Core::Instant now) const -> double;

private:
    double m_perSlot = 0;
    Core::Instant m_recordedAt;
};

} // namespace Admission
