#include "runtime/endpoints.h"

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>
#include <charconv>

namespace Runtime {

namespace {

    auto invalidAddress(const Core::Address& address, const std::string& problem) -> tl::unexpected<Core::Error>
    {
        return Core::fail(Core::ErrorKind::InvalidArgument, "address '" + address.value() + "' " + problem,
            "write it as IP:PORT, for example 127.0.0.1:8080 or [::1]:8080");
    }

    auto stripBrackets(std::string host) -> std::string
    {
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            return host.substr(1, host.size() - 2);
        return host;
    }

} // namespace

auto parseEndpoint(const Core::Address& address) -> Core::Result<boost::asio::ip::tcp::endpoint>
{
    const auto& text = address.value();
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return invalidAddress(address, "has no port");
    std::uint16_t port = 0;
    const auto* begin = text.data() + colon + 1;
    const auto* end = text.data() + text.size();
    const auto [parsed, problem] = std::from_chars(begin, end, port);
    if (problem != std::errc() || parsed != end)
        return invalidAddress(address, "has no valid port");
    boost::system::error_code error;
    const auto host = boost::asio::ip::make_address(stripBrackets(text.substr(0, colon)), error);
    if (error)
        return invalidAddress(address, "has no valid IP address");
    return boost::asio::ip::tcp::endpoint { host, port };
}

auto requireEndpoint(const Core::Address& address) -> boost::asio::ip::tcp::endpoint
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        throw boost::system::system_error(boost::asio::error::invalid_argument, describe(endpoint.error()));
    return *endpoint;
}

} // namespace Runtime
