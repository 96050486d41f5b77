#pragma once

#include "core/clientaddress.h"

#include <optional>
#include <string>

namespace ClientBlocks {

/// Reads an IPv4 or IPv6 address; an IPv4 address mapped into IPv6 counts as IPv4. Empty for anything else.
auto parseAddress(const std::string& text) -> std::optional<Core::ClientAddress>;

} // namespace ClientBlocks
