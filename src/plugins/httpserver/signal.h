#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace HttpServer {

namespace detail {

    /// Lets one coroutine wait for events of its strand. A wait can end without an event.
    class Signal {
    public:
        template <typename Executor>
        explicit Signal(const Executor& executor)
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

} // namespace detail

} // namespace HttpServer
