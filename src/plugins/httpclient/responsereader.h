#pragma once

#include "httpclient/connectionpool.h"
#include "httpclient/responseparser.h"

#include <boost/asio/awaitable.hpp>

namespace HttpClient::detail {

/// Reads more of the response that the parser parses. Runs on the connection's strand. Fails as well if the connection
/// was reset before the end of a body that ends with its connection.
auto readSome(Connection& connection, ResponseParser& parser) -> boost::asio::awaitable<boost::system::error_code>;

} // namespace HttpClient::detail
