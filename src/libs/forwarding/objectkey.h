#pragma once

#include "core/strongtype.h"

#include <string>

namespace Forwarding {

/// Key of the object that a request concerns. Upstreams cache objects, so they answer faster for an object that they
/// handled recently.
using ObjectKey = Core::StrongType<struct ObjectTag, std::string>;

} // namespace Forwarding
