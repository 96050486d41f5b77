#include "httpclient/transporterror.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace HttpClient::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;

auto failureStageOf(const Connection& connection, const Error& error) -> FailureStage
{
    if (connection.isCancelled)
        return FailureStage::Cancelled;
    // A read and a write can be open together; when the time expires, one ends as timed out and the other as aborted.
    if (error == beast::error::timeout || error == asio::error::operation_aborted)
        return FailureStage::TimedOut;
    if (error.category() == http::make_error_code(http::error::bad_version).category()
        && error != http::error::end_of_stream && error != http::error::partial_message)
        return FailureStage::InvalidResponse;
    return FailureStage::AfterWrite;
}

auto isOwnShortage(const Error& error) -> bool
{
    namespace errc = boost::system::errc;
    return error == errc::too_many_files_open || error == errc::too_many_files_open_in_system
        || error == errc::no_buffer_space || error == errc::not_enough_memory || error == errc::address_not_available;
}

} // namespace HttpClient::detail
