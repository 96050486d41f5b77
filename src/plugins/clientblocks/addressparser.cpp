#include "clientblocks/addressparser.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

namespace ClientBlocks {

namespace {

    template <typename Bytes> auto addressOf(Core::AddressFamily family, const Bytes& bytes) -> Core::ClientAddress
    {
        Core::ClientAddress address { family, {} };
        std::copy(bytes.begin(), bytes.end(), address.bytes.begin());
        return address;
    }

} // namespace

auto parseAddress(const std::string& text) -> std::optional<Core::ClientAddress>
{
    namespace ip = boost::asio::ip;
    boost::system::error_code error;
    const auto address = ip::make_address(text, error);
    if (error)
        return std::nullopt;
    if (address.is_v4())
        return addressOf(Core::AddressFamily::IPv4, address.to_v4().to_bytes());
    const auto ipv6 = address.to_v6();
    if (ipv6.is_v4_mapped())
        return addressOf(Core::AddressFamily::IPv4, ip::make_address_v4(ip::v4_mapped, ipv6).to_bytes());
    return addressOf(Core::AddressFamily::IPv6, ipv6.to_bytes());
}

} // namespace ClientBlocks
