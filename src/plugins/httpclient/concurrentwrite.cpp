#include "httpclient/concurrentwrite.h"

namespace HttpClient::detail {

auto ConcurrentWrite::start() -> void
{
    m_isInProgress = true;
    m_result = {};
}

auto ConcurrentWrite::end(const boost::system::error_code& result) -> void
{
    m_isInProgress = false;
    m_result = result;
    m_ended.notify();
}

auto ConcurrentWrite::wait() -> boost::asio::awaitable<boost::system::error_code>
{
    while (m_isInProgress)
        co_await m_ended.wait();
    co_return m_result;
}

} // namespace HttpClient::detail
