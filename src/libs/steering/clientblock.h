#pragma once

#include "core/clientaddress.h"

#include <cstdint>

namespace Steering {

/// Address prefix whose clients are steered in the same way: an IPv4 /24 or an IPv6 /48.
struct ClientBlock {
    Core::AddressFamily family = Core::AddressFamily::IPv4;
    /// Prefix as an integer of 24 bits (IPv4) or 48 bits (IPv6).
    std::uint64_t prefix = 0;

    friend auto operator==(const ClientBlock&, const ClientBlock&) -> bool = default;
};

inline constexpr std::uint64_t ipv4BlockCount = std::uint64_t(1) << 24U;
inline constexpr std::uint64_t ipv6BlockCount = std::uint64_t(1) << 48U;

inline auto blockOf(const Core::ClientAddress& address) -> ClientBlock
{
    constexpr std::size_t ipv4PrefixBytes = 3;
    constexpr std::size_t ipv6PrefixBytes = 6;
    const auto length = address.family == Core::AddressFamily::IPv4 ? ipv4PrefixBytes : ipv6PrefixBytes;
    std::uint64_t prefix = 0;
    for (std::size_t index = 0; index < length; ++index)
        prefix = (prefix << 8U) | address.bytes.at(index);
    return { address.family, prefix };
}

} // namespace Steering
