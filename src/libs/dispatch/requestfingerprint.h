#pragma once

#include "core/request.h"

#include <compare>
#include <cstdint>

namespace Dispatch {

/// Digest of the content of a request: its service, operation and body, but not its id, key or caller.
struct RequestFingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const RequestFingerprint&, const RequestFingerprint&) -> std::strong_ordering = default;
};

/// Returns the same fingerprint in every process of the fleet.
auto fingerprintOf(const Core::ServiceRequest& request) -> RequestFingerprint;

} // namespace Dispatch
