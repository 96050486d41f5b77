#include "httpclient/responsebody.h"

#include "httpclient/responsereader.h"
#include "httpclient/transporterror.h"

#include <boost/asio/co_spawn.hpp>

namespace HttpClient::detail {

namespace asio = boost::asio;
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
    asio::co_spawn(m_connection->stream.get_executor(), readPart(shared_from_this()),
        [callback = std::move(callback)](const std::exception_ptr& exception, Core::Result<std::string> part) {
            if (exception)
                callback(Core::fail(Core::ErrorKind::Internal, "the body could not be read", "report it as a defect"));
            else
                callback(std::move(part));
        });
}

auto ResponseBody::cancel() -> void { cancelExchange(m_connection, m_exchange); }

auto ResponseBody::readPart(std::shared_ptr<ResponseBody> self) -> asio::awaitable<Core::Result<std::string>>
{
    auto& received = self->m_parser->get().body();
    while (!self->isCancelled()) {
        if (!received.empty() || self->m_parser->is_done())
            co_return std::exchange(received, {});
        if (const auto error = co_await self->receive())
            co_return self->failed(error);
    }
    co_return self->failed(asio::error::operation_aborted);
}

auto ResponseBody::isCancelled() const -> bool
{
    return m_connection->isCancelled && m_connection->exchangeNumber == m_exchange;
}

auto ResponseBody::receive() -> asio::awaitable<Error>
{
    m_connection->buffer.reserve(receiveBufferBytes);
    const auto error = co_await readSome(*m_connection, *m_parser);
    if (error) {
        m_pool->dropAfterFailure(*m_call, *m_connection);
        m_connection->stream.close();
    } else if (m_parser->is_done()) {
        m_pool->settle(*m_call, m_connection, *m_parser);
    }
    co_return error;
}

auto ResponseBody::failed(const Error& error) const -> tl::unexpected<Core::Error>
{
    return Core::fail(kindOf(failureStageOf(*m_connection, error)), "the body broke off: " + error.message(),
        "send the request again if it may run twice");
}

} // namespace HttpClient::detail
