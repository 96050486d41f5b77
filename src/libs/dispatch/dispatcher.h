#pragma once

#include "configuration/servicepolicy.h"
#include "core/request.h"

namespace Dispatch {

/// Executes requests on the upstreams of this entry VM's failure domain.
class Dispatcher {
public:
    virtual ~Dispatcher() = default;
    /// Invokes the callback exactly once, on any thread. A NotRun refusal means that no upstream started the request.
    virtual auto dispatch(
        Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback) -> void
        = 0;
};

} // namespace Dispatch
