#pragma once

#include "core/error.h"
#include "core/ids.h"

#include <boost/asio/ip/tcp.hpp>

namespace Runtime {

/// Parses "IP:PORT" or "[IPv6]:PORT"; fails with InvalidArgument.
auto parseEndpoint(const Core::Address& address) -> Core::Result<boost::asio::ip::tcp::endpoint>;
/// As parseEndpoint(), for addresses to bind; throws boost::system::system_error.
auto requireEndpoint(const Core::Address& address) -> boost::asio::ip::tcp::endpoint;

} // namespace Runtime
