#pragma once

#include "core/strongtype.h"

#include <cstdint>

namespace Dispatch {

/// Digest of the requests that an entry VM refuses because they crash upstreams, in any order; zero if there are none.
using QuarantineDigest = Core::StrongType<struct QuarantineDigestTag, std::uint64_t>;

} // namespace Dispatch
