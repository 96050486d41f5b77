#pragma once

#include "ports/requesthandler.h"

namespace Serving {

/// Decides which entry VMs a caller should use; safe to call from several threads.
class LookupDecision {
public:
    virtual ~LookupDecision() = default;
    /// Fails with NotFound for a service that is not in force, and with Unavailable when no entry VM is known.
    virtual auto lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer> = 0;
};

} // namespace Serving
