#include "httpserver/replywriter.h"

namespace HttpServer {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace detail {

    namespace {

        auto hasNoBody(http::status status) -> bool
        {
            return status == http::status::no_content || status == http::status::not_modified
                || http::to_status_class(status) == http::status_class::informational;
        }

        auto isDelimited(const HttpResponse& head, const RequestTraits& request) -> bool
        {
            return request.takesChunks || request.isHead || hasNoBody(head.result()) || head.has_content_length();
        }

        /// Completes the head of a response whose body follows in parts.
        auto prepareHead(HttpResponse& head, bool takesChunks) -> void
        {
            head.body().clear();
            if (!head.has_content_length())
                head.chunked(takesChunks && !hasNoBody(head.result()));
        }

    } // namespace

    ReplyWriter::ReplyWriter(TimedSocket& socket, ResponseWriter& writer, std::shared_ptr<const ServerState> server)
        : m_socket(socket)
        , m_writer(writer)
        , m_server(std::move(server))
    {
    }

    auto ReplyWriter::keepsOpen(const Reply& reply, const RequestTraits& request) -> bool
    {
        const auto* const streamed = std::get_if<StreamedResponse>(&reply);
        return request.keepsAlive && (streamed == nullptr || isDelimited(streamed->head, request));
    }

    auto ReplyWriter::write(Reply& reply, const RequestTraits& request) -> asio::awaitable<bool>
    {
        auto* const streamed = std::get_if<StreamedResponse>(&reply);
        if (streamed == nullptr)
            co_return co_await writeWhole(std::get<HttpResponse>(reply), request);
        co_return co_await writeStreamed(*streamed, request);
    }

    auto ReplyWriter::stop() -> void
    {
        m_isStopped = true;
        if (m_body)
            m_body->stop();
    }

    auto ReplyWriter::writeWhole(HttpResponse& response, const RequestTraits& request) -> asio::awaitable<bool>
    {
        if (hasNoBody(response.result()))
            response.body().clear();
        response.prepare_payload();
        if (request.isHead)
            response.body().clear();
        co_return co_await m_writer.write(response);
    }

    auto ReplyWriter::writeStreamed(StreamedResponse& response, const RequestTraits& request) -> asio::awaitable<bool>
    {
        auto& head = response.head;
        m_body = std::make_shared<PartReader>(std::move(response.body), m_socket.executor(), m_server);
        if (m_isStopped)
            m_body->stop();
        prepareHead(head, request.takesChunks);
        bool isComplete = co_await m_writer.writeHead(head);
        if (isComplete && !request.isHead && !hasNoBody(head.result()))
            isComplete = co_await m_writer.writeBody(head, m_body);
        m_body.reset();
        // The end of the connection would look like the end of the body.
        if (!isComplete && !isDelimited(head, request))
            m_socket.reset();
        co_return isComplete;
    }

    auto setKeepAlive(Reply& reply, bool keepAlive) -> void
    {
        if (auto* const streamed = std::get_if<StreamedResponse>(&reply))
            streamed->head.keep_alive(keepAlive);
        else
            std::get<HttpResponse>(reply).keep_alive(keepAlive);
    }

} // namespace detail

} // namespace HttpServer
