#include "httpserver/clientdisconnectnotifier.h"

#include "httpserver/connection.h"

#include <utility>

namespace HttpServer {

namespace detail {

    auto ClientDisconnectNotifier::onDisconnect(std::function<void()> callback) -> void
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_isDisconnected) {
                m_callback = std::move(callback);
                return;
            }
        }
        callback();
    }

    auto ClientDisconnectNotifier::isDisconnected() const -> bool
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_isDisconnected)
                return true;
        }
        const auto connection = m_connection.lock();
        return !connection || connection->isClosedByClient();
    }

    auto ClientDisconnectNotifier::notifyDisconnect() -> void
    {
        std::function<void()> callback;
        {
            const std::lock_guard lock(m_mutex);
            m_isDisconnected = true;
            callback = std::exchange(m_callback, nullptr);
        }
        if (callback)
            callback();
    }

} // namespace detail

} // namespace HttpServer
