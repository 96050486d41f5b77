#include "httpserver/closewatch.h"

#include <utility>

namespace HttpServer {

namespace detail {

    namespace {

        constexpr Core::Millis lookInterval { 100 };

    } // namespace

    CloseWatch::CloseWatch(TimedSocket& socket)
        : m_socket(socket)
        , m_timer(socket.executor())
    {
    }

    auto CloseWatch::start(std::function<void()> callback) -> void
    {
        if (m_isWatching)
            return;
        m_isWatching = true;
        lookLater(++m_generation, std::move(callback));
    }

    auto CloseWatch::stop() -> void
    {
        m_isWatching = false;
        ++m_generation;
        m_timer.cancel();
    }

    auto CloseWatch::lookLater(std::uint64_t generation, std::function<void()> callback) -> void
    {
        m_timer.expires_after(lookInterval);
        m_timer.async_wait(
            [this, generation, callback = std::move(callback)](const boost::system::error_code&) mutable {
                if (generation != m_generation)
                    return;
                if (!m_socket.isClosedByClient()) {
                    lookLater(generation, std::move(callback));
                    return;
                }
                m_isWatching = false;
                callback();
            });
    }

} // namespace detail

} // namespace HttpServer
