#include "httpclient/responseparser.h"

#include <cstring>

namespace HttpClient::detail {

namespace http = boost::beast::http;

namespace {

    constexpr unsigned minimumStatus = 100;
    constexpr unsigned maximumStatus = 599;

    /// Returns true if the value does not end on the line of its name. Both refer to the received bytes, the value to
    /// what follows the colon and blanks; only a value of several lines is elsewhere, joined or behind the first line.
    auto isFolded(boost::beast::string_view name, boost::beast::string_view value) -> bool
    {
        const auto* start = name.data() + name.size() + std::strlen(":");
        start += std::strspn(start, " \t");
        return value.data() != start;
    }

} // namespace

auto ResponseParser::on_field_impl(boost::beast::http::field field, boost::beast::string_view name,
    boost::beast::string_view value, boost::system::error_code& error) -> void
{
    if (isFolded(name, value))
        error = http::make_error_code(http::error::bad_field);
    else
        get().insert(field, name, value);
}

auto ResponseParser::on_header_impl(boost::system::error_code& error) -> void
{
    const auto status = get().result_int();
    const bool isValid = status >= minimumStatus && status <= maximumStatus;
    error = isValid ? boost::system::error_code() : http::make_error_code(http::error::bad_status);
}

} // namespace HttpClient::detail
