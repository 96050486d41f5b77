#pragma once

#include "httpserver/clientdisconnectnotifier.h"
#include "httpserver/serverstate.h"

#include <optional>

namespace HttpServer {

namespace detail {

    /// What the connection must know of a request after its handler has taken it.
    struct RequestTraits {
        bool isHead = false;
        bool keepsAlive = false;
        /// The client understands the chunked coding.
        bool takesChunks = false;
        bool mayOverlap = false;
    };

    /// Request that was started and is not answered yet. Counts as open as long as it exists. Used on the connection's
    /// strand only, except for its notifier.
    class PendingAnswer {
    public:
        PendingAnswer(const RequestTraits& request, std::shared_ptr<ClientDisconnectNotifier> client,
            std::shared_ptr<ServerState> server);
        ~PendingAnswer();
        PendingAnswer(const PendingAnswer&) = delete;
        auto operator=(const PendingAnswer&) -> PendingAnswer& = delete;

        [[nodiscard]] auto request() const -> const RequestTraits& { return m_request; }
        [[nodiscard]] auto client() const -> const std::shared_ptr<ClientDisconnectNotifier>& { return m_client; }
        [[nodiscard]] auto isDelivered() const -> bool { return m_isDelivered; }
        /// Sets the reply; std::nullopt means that the handler failed.
        auto deliver(std::optional<Reply> reply) -> void;
        auto takeReply() -> std::optional<Reply>;
        /// Size of the reply if it is in memory.
        [[nodiscard]] auto size() const -> std::size_t;

    private:
        const RequestTraits m_request;
        const std::shared_ptr<ClientDisconnectNotifier> m_client;
        const std::shared_ptr<ServerState> m_server;
        bool m_isDelivered = false;
        std::optional<Reply> m_reply;
    };

    /// Cancels the body of a reply that will not be written.
    auto discard(std::optional<Reply>& reply) -> void;

} // namespace detail

} // namespace HttpServer
