#pragma once

#include "httpserver/httpserver.h"

#include <mutex>

namespace HttpServer {

namespace detail {

    class Connection;

    /// Calls the callback once: when the client disconnects, or at once if it has already. Thread-safe.
    class ClientDisconnectNotifier : public DisconnectNotifier {
    public:
        ClientDisconnectNotifier(std::weak_ptr<Connection> connection, const Core::RequestOrigin& origin)
            : m_connection(std::move(connection))
            , m_origin(origin)
        {
        }

        auto onDisconnect(std::function<void()> callback) -> void override;
        [[nodiscard]] auto isDisconnected() const -> bool override;
        [[nodiscard]] auto origin() const -> Core::RequestOrigin override { return m_origin; }
        auto notifyDisconnect() -> void;

    private:
        const std::weak_ptr<Connection> m_connection;
        const Core::RequestOrigin m_origin;
        mutable std::mutex m_mutex;
        bool m_isDisconnected = false;
        std::function<void()> m_callback;
    };

} // namespace detail

} // namespace HttpServer
