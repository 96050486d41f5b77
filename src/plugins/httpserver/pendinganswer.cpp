#include "httpserver/pendinganswer.h"

namespace HttpServer {

namespace detail {

    PendingAnswer::PendingAnswer(const RequestTraits& request, std::shared_ptr<ClientDisconnectNotifier> client,
        std::shared_ptr<ServerState> server)
        : m_request(request)
        , m_client(std::move(client))
        , m_server(std::move(server))
    {
        ++m_server->openRequests;
    }

    PendingAnswer::~PendingAnswer()
    {
        --m_server->openRequests;
        discard(m_reply);
    }

    auto PendingAnswer::deliver(std::optional<Reply> reply) -> void
    {
        m_isDelivered = true;
        m_reply = std::move(reply);
    }

    auto PendingAnswer::takeReply() -> std::optional<Reply> { return std::exchange(m_reply, std::nullopt); }

    auto PendingAnswer::size() const -> std::size_t
    {
        const auto* const response = m_reply ? std::get_if<HttpResponse>(&*m_reply) : nullptr;
        return response == nullptr ? 0 : response->body().size();
    }

    auto discard(std::optional<Reply>& reply) -> void
    {
        auto* const streamed = reply ? std::get_if<StreamedResponse>(&*reply) : nullptr;
        if (streamed != nullptr && streamed->body)
            streamed->body->cancel();
    }

} // namespace detail

} // namespace HttpServer
