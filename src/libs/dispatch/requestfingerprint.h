#pragma once

#include "core/request.h"

#include <compare>
#include <cstdint>

namespace Dispatch {

/// Digest of what a request asks for: its service, operation and body, not its id, key or caller.
struct RequestFingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const RequestFingerprint&, const RequestFingerprint&) -> std::strong_ordering = default;
};

/// Same result in every process of the fleet.
auto fingerprintOf(const Core::ServiceRequest& request) -> RequestFingerprint;

} // namespace Dispatch
