#pragma once

#include "core/error.h"
#include "core/ids.h"

#include <boost/asio/ip/tcp.hpp>

namespace Runtime {

/// Parses "IP:PORT" or "[IPv6]:PORT". Fails with InvalidArgument if the address is malformed.
auto parseEndpoint(const Core::Address& address) -> Core::Result<boost::asio::ip::tcp::endpoint>;
/// Like parseEndpoint(), but throws boost::system::system_error on failure. For addresses to bind.
auto requireEndpoint(const Core::Address& address) -> boost::asio::ip::tcp::endpoint;

} // namespace Runtime
