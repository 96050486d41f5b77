#pragma once

#include "core/hybridtime.h"

namespace Ports {

/// Hybrid logical clock of this process. Adapters send a stamp with each message to another process of the system and
/// observe the stamps of the messages that arrive.
class CausalClock {
public:
    virtual ~CausalClock() = default;
    /// Higher than every earlier stamp and every observed time.
    virtual auto stamp() -> Core::HybridTime = 0;
    virtual auto observe(const Core::HybridTime& remote) -> void = 0;
};

} // namespace Ports
