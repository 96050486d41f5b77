#pragma once

#include "ports/requesthandler.h"

namespace Serving {

/// Decides which entry VMs a caller should use. Implementations are thread-safe.
class LookupResolver {
public:
    virtual ~LookupResolver() = default;
    /// Fails with NotFound if the service is not in the configuration in force, and with Unavailable if no entry VM is
    /// known.
    virtual auto lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer> = 0;
};

} // namespace Serving
