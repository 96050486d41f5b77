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

    /// Returns true if the end of the stream was one in order although the write ended so: this side closed the
    /// connection, its time expired, or the server reset it after the end of the stream (EPIPE; ECONNRESET otherwise).
    auto wasStreamEndedInOrder(const Error& writeResult) -> bool
    {
        return writeResult == asio::error::operation_aborted || writeResult == asio::error::bad_descriptor
            || writeResult == beast::error::timeout || writeResult == asio::error::broken_pipe;
    }

    /// Returns the error that ended the connection, if there was one, after the end of the stream was read while the
    /// request was being written. The operating system reports such an error to one operation only; if that was the
    /// write, a read finds the end of the stream.
    auto connectionErrorAtEnd(Connection& connection) -> asio::awaitable<Error>
    {
        // Ends the write, unless it has met the error already.
        connection.stream.close();
        const auto result = co_await connection.requestWrite.wait();
        co_return wasStreamEndedInOrder(result) ? Error() : result;
    }

} // namespace

auto readSome(Connection& connection, ResponseParser& parser) -> asio::awaitable<Error>
{
    Error error;
    co_await http::async_read_some(
        connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    const bool endedWithConnection = !error && parser.is_done() && parser.need_eof();
    if (endedWithConnection && connection.requestWrite.isIncomplete())
        error = co_await connectionErrorAtEnd(connection);
    co_return error;
}

} // namespace HttpClient::detail
