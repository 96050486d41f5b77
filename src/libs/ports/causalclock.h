#pragma once

#include "core/hybridtime.h"

namespace Ports {

/// Hybrid logical clock of this process. Adapters attach a timestamp to each message to another process of the system
/// and observe the timestamps of incoming messages.
class CausalClock {
public:
    virtual ~CausalClock() = default;
    /// Returns a timestamp that is higher than all earlier timestamps and all observed ones.
    virtual auto stamp() -> Core::HybridTime = 0;
    virtual auto observe(const Core::HybridTime& remote) -> void = 0;
};

} // namespace Ports
