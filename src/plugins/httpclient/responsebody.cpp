#include "httpclient/responsebody.h"

#include "httpclient/transporterror.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>

namespace HttpClient::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

namespace {

    auto kindOf(FailureStage stage) -> Core::ErrorKind
    {
        switch (stage) {
        case FailureStage::TimedOut:
            return Core::ErrorKind::Timeout;
        case FailureStage::InvalidResponse:
            return Core::ErrorKind::InvalidMessage;
        default:
            return Core::ErrorKind::Unreachable;
        }
    }

} // namespace

ResponseBody::ResponseBody(std::shared_ptr<ConnectionPool> pool, ConnectionPointer connection,
    std::shared_ptr<const Call> call, std::unique_ptr<ResponseParser> parser)
    : m_pool(std::move(pool))
    , m_connection(std::move(connection))
    , m_call(std::move(call))
    , m_parser(std::move(parser))
    , m_exchange(m_connection->exchangeNumber)
{
}

auto ResponseBody::read(PartCallback callback) -> void
{
    asio::post(
        m_connection->stream.get_executor(), [self = shared_from_this(), callback = std::move(callback)]() mutable {
            self->deliverOrReceive(std::move(callback));
        });
}

auto ResponseBody::cancel() -> void { cancelExchange(m_connection, m_exchange); }

auto ResponseBody::deliverOrReceive(PartCallback callback) -> void
{
    auto& received = m_parser->get().body();
    if (m_connection->isCancelled && m_connection->exchangeNumber == m_exchange)
        callback(failed(asio::error::operation_aborted));
    else if (!received.empty() || m_parser->is_done())
        callback(std::exchange(received, {}));
    else
        receive(std::move(callback));
}

auto ResponseBody::receive(PartCallback callback) -> void
{
    m_connection->buffer.reserve(receiveBufferBytes);
    http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser,
        [self = shared_from_this(), callback = std::move(callback)](Error error, std::size_t) mutable {
            if (error) {
                auto failure = self->failed(error);
                self->m_pool->dropAfterFailure(*self->m_call, *self->m_connection);
                self->m_connection->stream.close();
                callback(std::move(failure));
                return;
            }
            if (self->m_parser->is_done())
                self->m_pool->settle(*self->m_call, self->m_connection, *self->m_parser);
            self->deliverOrReceive(std::move(callback));
        });
}

auto ResponseBody::failed(const Error& error) const -> tl::unexpected<Core::Error>
{
    return Core::fail(kindOf(failureStageOf(*m_connection, error)), "the body broke off: " + error.message(),
        "send the request again if it may run twice");
}

} // namespace HttpClient::detail
