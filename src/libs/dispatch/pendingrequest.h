#pragma once

#include "configuration/servicepolicy.h"
#include "core/request.h"
#include "dispatch/requestfingerprint.h"

#include <memory>
#include <vector>

namespace Dispatch {

/// Request between its admission and its one reply.
struct PendingRequest {
    Core::ServiceRequest request;
    Configuration::ServicePolicy policy;
    Core::ReplyCallback callback;
    RequestFingerprint fingerprint;
    std::uint32_t attempts = 0;
    /// Attempts that are not provably without a run.
    std::uint32_t possibleRuns = 0;
    /// Upstreams that earlier attempts went to.
    std::vector<Core::UpstreamId> tried;
    bool isReplied = false;
};

using PendingPointer = std::shared_ptr<PendingRequest>;

} // namespace Dispatch
