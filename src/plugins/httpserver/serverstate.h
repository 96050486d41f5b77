#pragma once

#include "httpserver/httpserver.h"

#include <atomic>

namespace HttpServer {

namespace detail {

    /// State shared by a server and its connections.
    struct ServerState {
        /// The server still serves requests, and closes each connection after the response.
        std::atomic<bool> isDraining { false };
        std::atomic<std::size_t> openRequests { 0 };
        /// Number of connections that were accepted.
        std::atomic<std::uint64_t> connections { 0 };
        /// Total size reserved for the bodies of requests in flight.
        std::atomic<std::uint64_t> reservedBodyBytes { 0 };
        std::atomic<std::shared_ptr<const Limits>> limits;
        std::atomic<bool> isShuttingDown { false };
        /// The server was destroyed; nothing may be posted to its connections any more.
        std::atomic<bool> isDestroyed { false };

        [[nodiscard]] auto closesConnections() const -> bool { return isShuttingDown || isDraining; }
    };

} // namespace detail

} // namespace HttpServer
