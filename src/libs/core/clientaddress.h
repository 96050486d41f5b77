#pragma once

#include <array>
#include <cstdint>

namespace Core {

enum class AddressFamily : std::uint8_t { IPv4, IPv6 };

/// IP address of a client, in network byte order; IPv4 uses the first four bytes.
struct ClientAddress {
    AddressFamily family = AddressFamily::IPv4;
    std::array<std::uint8_t, 16> bytes {};

    friend auto operator==(const ClientAddress&, const ClientAddress&) -> bool = default;
};

} // namespace Core
