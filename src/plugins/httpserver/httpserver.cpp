#include "httpserver/httpserver.h"

#include "runtime/endpoints.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <mutex>
#include <set>

namespace HttpServer {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

    auto statusFor(const Error& error) -> http::status
    {
        if (error == http::error::header_limit)
            return http::status::request_header_fields_too_large;
        if (error == http::error::body_limit)
            return http::status::payload_too_large;
        return http::status::bad_request;
    }

    /// The connection is at its end, so that no response can be sent.
    auto isDisconnect(const Error& error) -> bool
    {
        return error == http::error::end_of_stream || error == beast::error::timeout
            || error.category() == asio::error::get_system_category() || error == asio::error::eof;
    }

    using Stream = beast::basic_stream<Tcp, asio::strand<asio::io_context::executor_type>>;

    /// One connection; lives as long as its coroutine.
    struct Connection {
        explicit Connection(Tcp::socket socket, asio::strand<asio::io_context::executor_type> strand)
            : stream(std::move(strand))
        {
            const auto protocol = socket.local_endpoint().protocol();
            stream.socket().assign(protocol, socket.release());
            stream.socket().set_option(Tcp::no_delay(true));
        }
        Stream stream;
        beast::flat_buffer buffer;
        bool isIdle = true;
    };

} // namespace

class Server::Implementation : public std::enable_shared_from_this<Server::Implementation> {
public:
    Implementation(asio::io_context& context, const Core::Address& address, HttpHandler& handler, Limits limits)
        : m_context(context)
        , m_acceptor(asio::make_strand(context), Runtime::requireEndpoint(address))
        , m_handler(handler)
        , m_limits(limits)
    {
    }

    auto start() -> void { asio::co_spawn(m_acceptor.get_executor(), acceptLoop(shared_from_this()), asio::detached); }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }

    auto shutDown(std::function<void()> done) -> void
    {
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] { self->m_acceptor.close(); });
        std::vector<std::shared_ptr<Connection>> connections;
        {
            const std::lock_guard lock(m_mutex);
            m_isShuttingDown = true;
            m_done = std::move(done);
            connections.assign(m_connections.begin(), m_connections.end());
        }
        for (const auto& connection : connections) {
            asio::post(connection->stream.get_executor(), [connection] {
                if (connection->isIdle)
                    connection->stream.cancel();
            });
        }
        finishIfEmpty();
    }

private:
    static auto acceptLoop(std::shared_ptr<Implementation> self) -> asio::awaitable<void>
    {
        while (self->m_acceptor.is_open()) {
            Error error;
            auto socket = co_await self->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (error) {
                // Out of descriptors, for example: wait instead of accepting again at once.
                asio::steady_timer timer(self->m_acceptor.get_executor(), acceptRetryDelay);
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
                continue;
            }
            self->serve(std::move(socket));
        }
    }

    auto serve(Tcp::socket socket) -> void
    {
        try {
            auto connection = std::make_shared<Connection>(std::move(socket), asio::make_strand(m_context));
            if (!add(connection))
                return;
            asio::co_spawn(connection->stream.get_executor(), connectionLoop(shared_from_this(), connection),
                [self = shared_from_this(), connection](const std::exception_ptr&) { self->remove(connection); });
        } catch (const boost::system::system_error&) {
            // The peer was gone before the connection could be set up.
        }
    }

    static auto connectionLoop(std::shared_ptr<Implementation> self, std::shared_ptr<Connection> connection)
        -> asio::awaitable<void>
    {
        while (!self->isShuttingDown() && co_await self->serveOne(*connection)) { }
        Error ignored;
        connection->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }

    /// Reads one request and writes its response. Returns whether the connection stays open.
    auto serveOne(Connection& connection) -> asio::awaitable<bool>
    {
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(m_limits.maximumHeader.value()));
        parser.body_limit(m_limits.maximumBody.value());
        connection.stream.expires_after(m_limits.idleTimeout);
        Error error;
        co_await http::async_read_header(
            connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        connection.isIdle = false;
        if (!error)
            co_await http::async_read(
                connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            if (!isDisconnect(error))
                co_await writeMalformed(connection, error);
            co_return false;
        }
        auto request = parser.release();
        const bool keepAlive = request.keep_alive();
        auto response = co_await ask(std::move(request));
        response.keep_alive(keepAlive && !isShuttingDown());
        response.prepare_payload();
        connection.stream.expires_after(m_limits.idleTimeout);
        co_await http::async_write(connection.stream, response, asio::redirect_error(asio::use_awaitable, error));
        connection.isIdle = true;
        co_return !error && response.keep_alive();
    }

    auto writeMalformed(Connection& connection, const Error& cause) -> asio::awaitable<void>
    {
        auto response = m_handler.malformed(statusFor(cause), cause.message());
        response.keep_alive(false);
        response.prepare_payload();
        Error ignored;
        co_await http::async_write(connection.stream, response, asio::redirect_error(asio::use_awaitable, ignored));
    }

    auto ask(HttpRequest request) -> asio::awaitable<HttpResponse>
    {
        auto initiate = [this, request = std::move(request)](auto completion) mutable {
            auto shared = std::make_shared<decltype(completion)>(std::move(completion));
            m_handler.handle(std::move(request), [shared](HttpResponse response) {
                auto executor = asio::get_associated_executor(*shared);
                asio::post(
                    executor, [shared, response = std::move(response)]() mutable { (*shared)(std::move(response)); });
            });
        };
        co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(HttpResponse)>(
            std::move(initiate), asio::use_awaitable);
    }

    auto isShuttingDown() -> bool
    {
        const std::lock_guard lock(m_mutex);
        return m_isShuttingDown;
    }

    auto add(const std::shared_ptr<Connection>& connection) -> bool
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isShuttingDown)
            m_connections.insert(connection);
        return !m_isShuttingDown;
    }

    auto remove(const std::shared_ptr<Connection>& connection) -> void
    {
        {
            const std::lock_guard lock(m_mutex);
            m_connections.erase(connection);
        }
        finishIfEmpty();
    }

    auto finishIfEmpty() -> void
    {
        std::function<void()> done;
        {
            const std::lock_guard lock(m_mutex);
            if (!m_isShuttingDown || !m_connections.empty())
                return;
            done = std::exchange(m_done, nullptr);
        }
        if (done)
            done();
    }

    asio::io_context& m_context;
    asio::basic_socket_acceptor<Tcp, asio::strand<asio::io_context::executor_type>> m_acceptor;
    HttpHandler& m_handler;
    Limits m_limits;
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_connections;
    bool m_isShuttingDown = false;
    std::function<void()> m_done;
};

Server::Server(asio::io_context& context, const Core::Address& address, HttpHandler& handler, Limits limits)
    : m_implementation(std::make_shared<Implementation>(context, address, handler, limits))
{
    m_implementation->start();
}

Server::~Server() = default;

auto Server::port() const -> std::uint16_t { return m_implementation->port(); }

auto Server::shutDown(std::function<void()> done) -> void { m_implementation->shutDown(std::move(done)); }

} // namespace HttpServer
