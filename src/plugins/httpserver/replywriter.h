#pragma once

#include "httpserver/pendinganswer.h"
#include "httpserver/responsewriter.h"

namespace HttpServer {

namespace detail {

    /// Writes the reply to one request, in the form that its client and its method ask for.
    class ReplyWriter {
    public:
        ReplyWriter(TimedSocket& socket, ResponseWriter& writer, std::shared_ptr<const ServerState> server);

        /// Returns true if the connection can stay open behind the reply.
        [[nodiscard]] static auto keepsOpen(const Reply& reply, const RequestTraits& request) -> bool;
        /// Returns true if the reply was written whole.
        auto write(Reply& reply, const RequestTraits& request) -> boost::asio::awaitable<bool>;
        /// Ends a streamed reply, because the client has left.
        auto stop() -> void;

    private:
        auto writeWhole(HttpResponse& response, const RequestTraits& request) -> boost::asio::awaitable<bool>;
        auto writeStreamed(StreamedResponse& response, const RequestTraits& request) -> boost::asio::awaitable<bool>;

        TimedSocket& m_socket;
        ResponseWriter& m_writer;
        const std::shared_ptr<const ServerState> m_server;
        /// Body of the streamed reply that is being written.
        std::shared_ptr<PartReader> m_body;
        bool m_isStopped = false;
    };

    /// Sets whether the connection stays open behind the reply.
    auto setKeepAlive(Reply& reply, bool keepAlive) -> void;

} // namespace detail

} // namespace HttpServer
