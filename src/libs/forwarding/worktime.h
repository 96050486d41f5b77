#pragma once

#include "core/units.h"

namespace Forwarding {

/// Moving means of the time that a service's upstreams take for an object that they know and for one that they don't.
class WorkTime {
public:
    auto record(Core::Duration time, bool wasWarm) -> void;
    [[nodiscard]] auto warm() const -> Core::Duration;
    [[nodiscard]] auto cold() const -> Core::Duration;
    /// Whether an answer that took so long looks like one for a known object.
    [[nodiscard]] auto looksWarm(Core::Duration time) const -> bool;

private:
    double m_warmMicros = 250'000;
    double m_coldMicros = 800'000;
};

} // namespace Forwarding
