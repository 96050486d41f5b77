#include "httpclient/responsereader.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>

namespace HttpClient::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;

namespace {

    /// Returns true if the write ended because this side closed the connection or its time expired, or because the
    /// server had ended the stream in order before it reset the connection.
    auto saysNothingAboutTheResponse(const Error& writeResult) -> bool
    {
        return writeResult == asio::error::operation_aborted || writeResult == asio::error::bad_descriptor
            || writeResult == beast::error::timeout || writeResult == asio::error::broken_pipe;
    }

    /// Returns the error that ended the connection, if any, after the end of the stream was read while the request was
    /// still being written. The operating system reports an error once, here to the write, and to later reads the end
    /// of the stream.
    auto errorBehindEnd(Connection& connection) -> asio::awaitable<Error>
    {
        // Ends the write, unless it has met the error already.
        connection.stream.close();
        const auto result = co_await connection.requestWrite.wait();
        co_return saysNothingAboutTheResponse(result) ? Error() : result;
    }

} // namespace

auto readSome(Connection& connection, ResponseParser& parser) -> asio::awaitable<Error>
{
    Error error;
    co_await http::async_read_some(
        connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    const bool endedWithConnection = !error && parser.is_done() && parser.need_eof();
    if (endedWithConnection && connection.requestWrite.isIncomplete())
        error = co_await errorBehindEnd(connection);
    co_return error;
}

} // namespace HttpClient::detail
