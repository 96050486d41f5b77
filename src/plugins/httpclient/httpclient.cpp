#include "httpclient/httpclient.h"

#include "core/sharded.h"
#include "runtime/endpoints.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sys/socket.h>
#include <unordered_map>

namespace HttpClient {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

    constexpr int maximumInterimResponses = 8;

    using Strand = asio::strand<asio::io_context::executor_type>;
    using Stream = beast::basic_stream<Tcp, Strand>;

    struct Connection {
        explicit Connection(asio::io_context& context)
            : stream(asio::make_strand(context))
        {
        }
        Stream stream;
        beast::flat_buffer buffer;
        bool isReused = false;
        std::chrono::steady_clock::time_point idleSince;
    };

    using ConnectionPointer = std::shared_ptr<Connection>;

    /// An idle connection must have nothing to read: neither an end of stream nor stray bytes.
    auto isStillOpen(Connection& connection) -> bool
    {
        char byte = 0;
        const auto count = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    auto stageAfterWrite(const Error& error) -> FailureStage
    {
        if (error == beast::error::timeout)
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
    {
    }

    auto send(Call call, Callback callback) -> void
    {
        auto connection = takeIdle(call.address);
        if (!connection)
            connection = std::make_shared<Connection>(m_context);
        auto executor = connection->stream.get_executor();
        auto shared = std::make_shared<Call>(std::move(call));
        asio::co_spawn(executor, exchange(shared_from_this(), connection, shared),
            [callback = std::move(callback)](
                const std::exception_ptr& exception, tl::expected<Exchange, Failure> result) {
                if (exception)
                    callback(tl::unexpected(Failure { FailureStage::AfterWrite, false, "internal error" }));
                else
                    callback(std::move(result));
            });
    }

private:
    using Pool = std::unordered_map<Core::Address, std::vector<ConnectionPointer>>;

    static auto exchange(std::shared_ptr<Implementation> self, ConnectionPointer connection, std::shared_ptr<Call> call)
        -> asio::awaitable<tl::expected<Exchange, Failure>>
    {
        const auto deadline = std::chrono::steady_clock::now() + call->timeout;
        if (!connection->isReused) {
            const auto failure = co_await self->connect(*connection, *call);
            if (!failure.empty())
                co_return tl::unexpected(Failure { FailureStage::BeforeWrite, false, failure });
        }
        connection->stream.expires_at(deadline);
        Error error;
        co_await http::async_write(connection->stream, call->request, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return tl::unexpected(self->failureAfterWrite(*call, *connection, error));
        auto response = co_await self->readFinalResponse(*connection, error);
        if (error)
            co_return tl::unexpected(self->failureAfterWrite(*call, *connection, error));
        Exchange result { std::move(response), connection->isReused };
        if (result.response.keep_alive() && connection->buffer.size() == 0)
            self->keep(call->address, connection);
        co_return result;
    }

    /// Skips interim responses, of which a server may send a few before its answer.
    auto readFinalResponse(Connection& connection, Error& error) -> asio::awaitable<HttpResponse>
    {
        for (int interim = 0; interim < maximumInterimResponses; ++interim) {
            http::response_parser<http::string_body> parser;
            parser.body_limit(m_limits.maximumBody.value());
            co_await http::async_read(
                connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return HttpResponse();
            if (http::to_status_class(parser.get().result_int()) != http::status_class::informational)
                co_return parser.release();
        }
        error = http::make_error_code(http::error::bad_status);
        co_return HttpResponse();
    }

    /// Returns what went wrong, or an empty text.
    auto connect(Connection& connection, const Call& call) -> asio::awaitable<std::string>
    {
        const auto endpoint = Runtime::parseEndpoint(call.address);
        if (!endpoint)
            co_return endpoint.error().message;
        connection.stream.expires_after(std::min<Core::Duration>(m_limits.connectTimeout, call.timeout));
        Error error;
        co_await connection.stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return error.message();
        connection.stream.socket().set_option(Tcp::no_delay(true), error);
        co_return std::string();
    }

    auto failureAfterWrite(const Call& call, const Connection& connection, const Error& error) -> Failure
    {
        // What made one old connection fail has often made the others fail as well: the next calls take new ones.
        if (connection.isReused)
            m_idle.with(call.address, [&](Pool& pool) { pool.erase(call.address); });
        return { stageAfterWrite(error), connection.isReused, error.message() };
    }

    auto takeIdle(const Core::Address& address) -> ConnectionPointer
    {
        return m_idle.with(address, [&](Pool& pool) -> ConnectionPointer {
            auto& connections = pool[address];
            while (!connections.empty()) {
                auto connection = std::move(connections.back());
                connections.pop_back();
                const bool isFresh = connection->idleSince + m_limits.idleTimeout > std::chrono::steady_clock::now();
                if (isFresh && isStillOpen(*connection)) {
                    connection->isReused = true;
                    return connection;
                }
            }
            return nullptr;
        });
    }

    auto keep(const Core::Address& address, const ConnectionPointer& connection) -> void
    {
        connection->stream.expires_never();
        connection->idleSince = std::chrono::steady_clock::now();
        m_idle.with(address, [&](Pool& pool) {
            auto& connections = pool[address];
            if (connections.size() < m_limits.idleConnectionsPerAddress)
                connections.push_back(connection);
        });
    }

    asio::io_context& m_context;
    Limits m_limits;
    Core::Sharded<Pool> m_idle;
};

Client::Client(asio::io_context& context, Limits limits)
    : m_implementation(std::make_shared<Implementation>(context, limits))
{
}

Client::~Client() = default;

auto Client::send(Call call, Callback callback) -> void
{
    m_implementation->send(std::move(call), std::move(callback));
}

} // namespace HttpClient
