#pragma once

#include "configuration/servicepolicy.h"
#include "core/request.h"
#include "dispatch/requestfingerprint.h"

#include <memory>
#include <vector>

namespace Dispatch {

/// Admitted request that has not been replied to yet.
struct PendingRequest {
    Core::ServiceRequest request;
    Configuration::ServicePolicy policy;
    Core::ReplyCallback callback;
    RequestFingerprint fingerprint;
    std::uint32_t attempts = 0;
    /// Number of attempts for which it is not proven that the upstream did not run the request.
    std::uint32_t possibleRuns = 0;
    /// Upstreams that attempts were sent to.
    std::vector<Core::UpstreamId> tried;
    bool isReplied = false;
};

using PendingPointer = std::shared_ptr<PendingRequest>;

} // namespace Dispatch
