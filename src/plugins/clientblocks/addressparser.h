#pragma once

#include "core/clientaddress.h"

#include <optional>
#include <string>

namespace ClientBlocks {

/// Parses an IPv4 or IPv6 address. An IPv4-mapped IPv6 address yields the IPv4 address. Returns std::nullopt for any
/// other text.
auto parseAddress(const std::string& text) -> std::optional<Core::ClientAddress>;

} // namespace ClientBlocks
