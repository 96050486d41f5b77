#include "httpclient/httpclient.h"

#include "httpclient/connectionpool.h"
#include "runtime/endpoints.h"
#include "runtime/socketoptions.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
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
    /// Connections are not reused this shortly before the end of the Keep-Alive timeout that the server announced,
    /// since the server closes them then.
    constexpr Core::Millis keepAliveMargin { 1000 };

    using detail::Connection;
    using detail::ConnectionPointer;
    using ResponseParser = http::response_parser<http::string_body>;

    /// Size up to which a body counts as small.
    constexpr std::uint64_t smallBody = 64UL * 1024;

    /// Size of what has been received of all bodies. The first part of each body is counted apart from the rest, so
    /// that servers that send large bodies, or endless ones, leave room for the small ones of the others.
    struct ReceivedBytes {
        std::atomic<std::uint64_t> smallParts { 0 };
        std::atomic<std::uint64_t> rests { 0 };
    };

    /// Part of the limit on the bodies of all responses that one response has taken. Returns it at the end.
    class BodyReservation {
    public:
        BodyReservation(ReceivedBytes& received, Core::Bytes limit)
            : m_received(received)
            , m_limit(limit.value() / 2)
        {
        }
        ~BodyReservation()
        {
            m_received.smallParts -= smallPart(m_reserved);
            m_received.rests -= rest(m_reserved);
        }
        BodyReservation(const BodyReservation&) = delete;
        auto operator=(const BodyReservation&) -> BodyReservation& = delete;

        /// Grows the reservation to the given size. Returns false if the limit on its kind of bytes is exceeded.
        auto growTo(std::uint64_t size) -> bool
        {
            if (size <= m_reserved)
                return true;
            const auto moreOfSmallPart = smallPart(size) - smallPart(m_reserved);
            const auto moreOfRest = rest(size) - rest(m_reserved);
            m_reserved = size;
            const bool hasRoomForSmallPart = grow(m_received.smallParts, moreOfSmallPart);
            const bool hasRoomForRest = grow(m_received.rests, moreOfRest);
            return hasRoomForSmallPart && hasRoomForRest;
        }

    private:
        static auto smallPart(std::uint64_t size) -> std::uint64_t { return std::min(size, smallBody); }
        static auto rest(std::uint64_t size) -> std::uint64_t { return size - smallPart(size); }

        [[nodiscard]] auto grow(std::atomic<std::uint64_t>& total, std::uint64_t more) const -> bool
        {
            return total.fetch_add(more) + more <= m_limit || more == 0;
        }

        ReceivedBytes& m_received;
        /// Limit on either kind of bytes.
        const std::uint64_t m_limit;
        std::uint64_t m_reserved = 0;
    };

    /// Returns the time for which the idle connection can be reused: the Keep-Alive timeout of the response less
    /// keepAliveMargin, and at most the limit.
    auto keepAliveTimeOf(const HttpResponse& response, Core::Duration limit) -> Core::Duration
    {
        constexpr std::string_view parameter = "timeout=";
        const std::string_view value(response[http::field::keep_alive]);
        const auto at = value.find(parameter);
        if (at == std::string_view::npos)
            return limit;
        const auto seconds = std::strtol(std::string(value.substr(at + parameter.size())).c_str(), nullptr, 10);
        return std::min<Core::Duration>(limit, std::chrono::seconds(seconds) - keepAliveMargin);
    }

    auto stageAfterWrite(const Error& error) -> FailureStage
    {
        // A read and a write can be open together; when the time expires, one ends as timed out and the other as
        // aborted.
        if (error == beast::error::timeout || error == asio::error::operation_aborted)
            return FailureStage::TimedOut;
        if (error.category() == http::make_error_code(http::error::bad_version).category()
            && error != http::error::end_of_stream && error != http::error::partial_message)
            return FailureStage::InvalidResponse;
        return FailureStage::AfterWrite;
    }

} // namespace

class Client::Implementation : public std::enable_shared_from_this<Client::Implementation> {
public:
    Implementation(asio::io_context& context, Limits limits)
        : m_context(context)
        , m_limits(limits)
        , m_idleConnections(limits.idleConnectionsPerAddress)
    {
    }

    auto send(Call call, Callback callback) -> std::shared_ptr<PendingCall>
    {
        auto connection = m_idleConnections.take(call);
        if (!connection)
            connection = std::make_shared<Connection>(m_context);
        auto executor = connection->stream.get_executor();
        auto shared = std::make_shared<Call>(std::move(call));
        auto pending = std::make_shared<detail::PendingExchange>(connection);
        asio::co_spawn(executor, runExchange(shared_from_this(), connection, shared),
            [callback = std::move(callback)](
                const std::exception_ptr& exception, tl::expected<Exchange, Failure> result) {
                if (exception)
                    callback(tl::unexpected(Failure { FailureStage::AfterWrite, false, "internal error" }));
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
            self->m_idleConnections.put(*call, connection);
            co_return tl::unexpected(withdrawn(*connection));
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
        ++connection->exchangeNumber;
        Exchange result { std::move(response), connection->isReused };
        if (isReusable(*connection, result.response)) {
            connection->setUsableFor(keepAliveTimeOf(result.response, self->m_limits.idleTimeout));
            self->m_idleConnections.put(*call, connection);
        } else if (connection->hasUnwrittenRequest || connection->hasUnmatchedResponse) {
            connection->stream.close();
        } else {
            connection->closeInOrder();
        }
        co_return result;
    }

    static auto isReusable(const Connection& connection, const HttpResponse& response) -> bool
    {
        return response.keep_alive() && connection.buffer.size() == 0 && !connection.hasUnwrittenRequest
            && !connection.hasUnmatchedResponse && !connection.isCancelled;
    }

    /// Starts to write the request and returns at once, so that the response can be read meanwhile.
    static auto writeConcurrently(const ConnectionPointer& connection, const std::shared_ptr<Call>& call) -> void
    {
        connection->hasUnwrittenRequest = true;
        http::async_write(connection->stream, call->request, [connection, call](const Error& error, std::size_t) {
            connection->hasUnwrittenRequest = static_cast<bool>(error);
        });
    }

    /// Reads responses until the final one that belongs to the call. Skips a limited number of interim and unmatched
    /// responses.
    auto readFinalResponse(Connection& connection, const Call& call, Error& error) -> asio::awaitable<HttpResponse>
    {
        for (int count = 0; count < maximumResponsesPerCall; ++count) {
            ResponseParser parser;
            const auto bodyLimit = std::min(m_limits.maximumBody, call.maximumBody.value_or(m_limits.maximumBody));
            parser.body_limit(bodyLimit.value());
            parser.skip(call.request.method() == http::verb::head);
            error = co_await readResponse(connection, parser);
            if (error)
                co_return HttpResponse();
            if (http::to_status_class(parser.get().result_int()) == http::status_class::informational)
                continue;
            const auto owner = call.ownerOf ? call.ownerOf(parser.get()) : ResponseOwner::ThisRequest;
            connection.hasUnmatchedResponse |= owner != ResponseOwner::ThisRequest;
            if (owner != ResponseOwner::OtherRequest)
                co_return parser.release();
        }
        error = http::make_error_code(http::error::bad_status);
        co_return HttpResponse();
    }

    /// Reads one response, within the limits on its own size and on that of all responses together.
    auto readResponse(Connection& connection, ResponseParser& parser) -> asio::awaitable<Error>
    {
        BodyReservation reservation(m_received, m_limits.maximumBodyTotal);
        Error error;
        while (!error && !parser.is_done()) {
            co_await http::async_read_some(
                connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (!error && !reservation.growTo(parser.get().body().size()))
                error = http::make_error_code(http::error::body_limit);
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
        // The other pooled connections to this server have often failed for the same reason: discard them all.
        if (connection.isReused)
            m_idleConnections.drop(call);
        const auto stage = connection.isCancelled ? FailureStage::Cancelled : stageAfterWrite(error);
        return { stage, connection.isReused, error.message() };
    }

    asio::io_context& m_context;
    Limits m_limits;
    detail::ConnectionPool m_idleConnections;
    std::atomic<std::uint64_t> m_openedConnections { 0 };
    ReceivedBytes m_received;
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
