#pragma once

#include "core/strongtype.h"

#include <string>

namespace Forwarding {

/// Object that a request is about; upstreams answer faster for an object that they handled lately.
using ObjectKey = Core::StrongType<struct ObjectTag, std::string>;

} // namespace Forwarding
