#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Runtime {

/// Lets one coroutine wait for events of its strand. A wait can end without an event.
class StrandEvent {
public:
    template <typename Executor>
    explicit StrandEvent(const Executor& executor)
        : m_timer(executor)
    {
    }

    auto notify() -> void { m_timer.cancel(); }
    auto wait() -> boost::asio::awaitable<void>
    {
        boost::system::error_code ignored;
        m_timer.expires_at(boost::asio::steady_timer::time_point::max());
        co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

private:
    boost::asio::steady_timer m_timer;
};

} // namespace Runtime
