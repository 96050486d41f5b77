#include "httpclient/httpclient.h"

#include "httpclient/connectionpool.h"
#include "httpclient/responsebody.h"
#include "httpclient/responsereader.h"
#include "httpclient/transporterror.h"
#include "runtime/endpoints.h"
#include "runtime/socketoptions.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

namespace HttpClient {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

    constexpr int maximumResponsesPerCall = 8;
    /// Longer request bodies are written while the response is read, because a server may answer before it has read
    /// them.
    constexpr std::size_t sequentialWriteLimit = 8 * 1024;
    using detail::Connection;
    using detail::ConnectionPointer;
    using detail::ResponseParser;

    using ParserPointer = std::unique_ptr<ResponseParser>;

    auto isInterim(const ResponseParser& parser) -> bool
    {
        return http::to_status_class(parser.get().result_int()) == http::status_class::informational;
    }

} // namespace

class Client::Implementation : public std::enable_shared_from_this<Client::Implementation> {
public:
    Implementation(asio::io_context& context, Limits limits)
        : m_context(context)
        , m_limits(limits)
        , m_idleConnections(std::make_shared<detail::ConnectionPool>(limits))
    {
    }

    auto send(Call call, Callback callback) -> std::shared_ptr<PendingCall>
    {
        auto connection = m_idleConnections->take(call);
        if (!connection)
            connection = std::make_shared<Connection>(m_context);
        auto executor = connection->stream.get_executor();
        auto shared = std::make_shared<Call>(std::move(call));
        auto pending = std::make_shared<detail::PendingExchange>(connection);
        asio::co_spawn(executor, runExchange(shared_from_this(), connection, shared),
            [callback = std::move(callback)](
                const std::exception_ptr& exception, tl::expected<Exchange, Failure> result) {
                if (exception)
                    callback(tl::unexpected(Failure { FailureStage::Cancelled, false, "internal error" }));
                else
                    callback(std::move(result));
            });
        return pending;
    }

    [[nodiscard]] auto openedConnections() const -> std::uint64_t { return m_openedConnections; }

private:
    static auto runExchange(std::shared_ptr<Implementation> self, ConnectionPointer connection,
        std::shared_ptr<Call> call) -> asio::awaitable<tl::expected<Exchange, Failure>>
    {
        const auto deadline = std::chrono::steady_clock::now() + call->timeout;
        if (!connection->isReused) {
            const auto connected = co_await self->connect(*connection, *call);
            if (!connected)
                co_return tl::unexpected(connected.error());
        }
        if (connection->isCancelled)
            co_return tl::unexpected(withdrawn(*connection));
        if (call->isStillWanted && !call->isStillWanted()) {
            ++connection->exchangeNumber;
            // Another exchange may take the connection as soon as it is back.
            auto failure = withdrawn(*connection);
            self->m_idleConnections->put(*call, connection);
            co_return tl::unexpected(std::move(failure));
        }
        connection->stream.expires_at(deadline);
        Error error;
        if (call->request.body().size() > sequentialWriteLimit)
            self->writeConcurrently(connection, call);
        else
            co_await http::async_write(
                connection->stream, call->request, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return tl::unexpected(self->failureAfterWrite(*call, *connection, error));
        auto response = co_await self->readFinalResponse(*connection, *call, error);
        if (error)
            co_return tl::unexpected(self->failureAfterWrite(*call, *connection, error));
        co_return self->deliver(connection, call, std::move(response));
    }

    auto deliver(const ConnectionPointer& connection, const std::shared_ptr<Call>& call, ParserPointer parser)
        -> Exchange
    {
        Exchange exchange;
        exchange.reusedConnection = connection->isReused;
        if (parser->is_done()) {
            m_idleConnections->settle(*call, connection, *parser);
            auto whole = parser->release();
            exchange.response = HttpResponse(std::move(whole.base()), std::move(whole.body()));
        } else {
            exchange.response = HttpResponse(parser->get().base());
            exchange.body
                = std::make_shared<detail::ResponseBody>(m_idleConnections, connection, call, std::move(parser));
        }
        return exchange;
    }

    /// Starts to write the request and returns at once, so that the response can be read meanwhile.
    static auto writeConcurrently(const ConnectionPointer& connection, const std::shared_ptr<Call>& call) -> void
    {
        connection->requestWrite.start();
        http::async_write(connection->stream, call->request,
            [connection, call](const Error& error, std::size_t) { connection->requestWrite.end(error); });
    }

    /// Reads responses until the final one that belongs to the call, or its first part. Skips a limited number of
    /// interim and unmatched responses.
    auto readFinalResponse(Connection& connection, const Call& call, Error& error) -> asio::awaitable<ParserPointer>
    {
        for (int count = 0; count < maximumResponsesPerCall; ++count) {
            auto parser = makeParser(call);
            error = co_await readFirstPart(connection, *parser, call);
            if (error)
                co_return nullptr;
            if (isInterim(*parser))
                continue;
            const auto owner = call.ownerOf ? call.ownerOf(parser->get().base()) : ResponseOwner::ThisRequest;
            connection.hasUnmatchedResponse |= owner != ResponseOwner::ThisRequest;
            if (owner != ResponseOwner::OtherRequest)
                co_return parser;
            error = co_await skipRest(connection, *parser);
            if (error)
                co_return nullptr;
        }
        error = http::make_error_code(http::error::bad_status);
        co_return nullptr;
    }

    [[nodiscard]] auto makeParser(const Call& call) const -> ParserPointer
    {
        auto parser = std::make_unique<ResponseParser>();
        if (call.streamsLargeBody)
            parser->body_limit(boost::none);
        else
            parser->body_limit(std::min(m_limits.maximumBody, call.maximumBody.value_or(m_limits.maximumBody)).value());
        parser->skip(call.request.method() == http::verb::head);
        return parser;
    }

    /// Reads the response, or the head and the first part of a large body that is to be streamed.
    static auto readFirstPart(Connection& connection, ResponseParser& parser, const Call& call)
        -> asio::awaitable<Error>
    {
        Error error;
        const auto isLarge = [&] { return parser.get().body().size() > largeBody.value(); };
        while (!error && !parser.is_done() && !(call.streamsLargeBody && isLarge()))
            error = co_await detail::readSome(connection, parser);
        co_return error;
    }

    /// Reads what is left of a response to another request, within the limit on a body.
    auto skipRest(Connection& connection, ResponseParser& parser) -> asio::awaitable<Error>
    {
        Error error;
        std::uint64_t skipped = 0;
        while (!error && !parser.is_done()) {
            skipped += std::exchange(parser.get().body(), {}).size();
            if (skipped > m_limits.maximumBody.value())
                co_return http::make_error_code(http::error::body_limit);
            error = co_await detail::readSome(connection, parser);
        }
        co_return error;
    }

    auto connect(Connection& connection, const Call& call) -> asio::awaitable<tl::expected<void, Failure>>
    {
        const auto endpoint = Runtime::parseEndpoint(call.address);
        if (!endpoint)
            co_return tl::unexpected(Failure { FailureStage::BeforeWrite, false, endpoint.error().message });
        connection.stream.expires_after(std::min<Core::Duration>(m_limits.connectTimeout, call.timeout));
        Error error;
        co_await connection.stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error && connection.isCancelled)
            co_return tl::unexpected(withdrawn(connection));
        if (error && detail::isOwnShortage(error))
            co_return tl::unexpected(Failure { FailureStage::OwnShortage, false, error.message() });
        if (error) {
            co_return tl::unexpected(
                Failure { FailureStage::BeforeWrite, false, error.message(), error == beast::error::timeout });
        }
        ++m_openedConnections;
        connection.setUsableFor(m_limits.idleTimeout);
        connection.stream.socket().set_option(Tcp::no_delay(true), error);
        Runtime::setResetOnClose(connection.stream.socket().native_handle(), true);
        if (m_limits.deadPeerTimeout.count() > 0)
            Runtime::enableDeadPeerDetection(connection.stream.socket().native_handle(), m_limits.deadPeerTimeout);
        co_return tl::expected<void, Failure>();
    }

    static auto withdrawn(const Connection& connection) -> Failure
    {
        return { FailureStage::Withdrawn, connection.isReused, "no longer wanted" };
    }

    auto failureAfterWrite(const Call& call, const Connection& connection, const Error& error) -> Failure
    {
        m_idleConnections->dropAfterFailure(call, connection);
        Failure failure { detail::failureStageOf(connection, error), connection.isReused, error.message() };
        failure.unacknowledged = connection.unacknowledged;
        return failure;
    }

    asio::io_context& m_context;
    Limits m_limits;
    const std::shared_ptr<detail::ConnectionPool> m_idleConnections;
    std::atomic<std::uint64_t> m_openedConnections { 0 };
};

Client::Client(asio::io_context& context, Limits limits)
    : m_implementation(std::make_shared<Implementation>(context, limits))
{
}

Client::~Client() = default;

auto Client::send(Call call, Callback callback) -> std::shared_ptr<PendingCall>
{
    return m_implementation->send(std::move(call), std::move(callback));
}

auto Client::openedConnections() const -> std::uint64_t { return m_implementation->openedConnections(); }

} // namespace HttpClient
