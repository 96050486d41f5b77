#include "httpclient/responseparser.h"

namespace HttpClient::detail {

namespace http = boost::beast::http;

namespace {

    constexpr unsigned minimumStatus = 100;
    constexpr unsigned maximumStatus = 599;

} // namespace

auto ResponseParser::on_header_impl(boost::system::error_code& error) -> void
{
    const auto status = get().result_int();
    const bool isValid = status >= minimumStatus && status <= maximumStatus;
    error = isValid ? boost::system::error_code() : http::make_error_code(http::error::bad_status);
}

} // namespace HttpClient::detail
