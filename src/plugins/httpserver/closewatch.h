#pragma once

#include "httpserver/timedsocket.h"

#include <functional>

namespace HttpServer {

namespace detail {

    /// Looks at intervals whether the client has closed its connection, while nothing is read from it that would tell.
    /// Used on the socket's strand only.
    class CloseWatch {
    public:
        explicit CloseWatch(TimedSocket& socket);

        /// Calls back once when the client has closed the connection, unless stopped before. Ignored while it watches
        /// already. The callback must own the watch.
        auto start(std::function<void()> callback) -> void;
        auto stop() -> void;

    private:
        auto lookLater(std::uint64_t generation, std::function<void()> callback) -> void;

        TimedSocket& m_socket;
        boost::asio::steady_timer m_timer;
        /// A timer of an earlier generation that has passed but was not handled yet has no effect.
        std::uint64_t m_generation = 0;
        bool m_isWatching = false;
    };

} // namespace detail

} // namespace HttpServer
