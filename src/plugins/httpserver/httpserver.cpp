#include "httpserver/httpserver.h"

#include "httpserver/connection.h"
#include "runtime/endpoints.h"
#include "runtime/eventbatch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>
#include <set>

namespace HttpServer {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Error = boost::system::error_code;
using Tcp = asio::ip::tcp;
using detail::Connection;

namespace {

    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);
    /// Limit on connections that receive the overloaded response at the same time; others are closed without one.
    constexpr std::size_t maximumOpenRefusals = 64;
    constexpr int httpVersion = 11;

} // namespace

class Server::Implementation : public std::enable_shared_from_this<Server::Implementation> {
public:
    Implementation(asio::io_context& context, const Core::Address& address, HttpHandler& handler, Limits limits)
        : m_context(context)
        , m_acceptor(asio::make_strand(context), Runtime::requireEndpoint(address))
        , m_handler(handler)
        , m_maximumConnections(limits.maximumConnections)
    {
        setLimits(limits);
    }

    auto start() -> void
    {
        asio::co_spawn(m_acceptor.get_executor(), acceptLoop(shared_from_this()),
            [self = shared_from_this()](const std::exception_ptr&) { self->endAccepting(); });
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }

    auto shutDown(std::function<void()> done) -> void
    {
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] { self->closeAcceptor(); });
        std::vector<std::shared_ptr<Connection>> connections;
        {
            const std::lock_guard lock(m_mutex);
            m_state->isShuttingDown = true;
            m_shutDownCallback = std::move(done);
            connections.assign(m_connections.begin(), m_connections.end());
        }
        for (const auto& connection : connections)
            connection->closeIfIdle();
        finishShutDownIfEmpty();
    }

    auto setLimits(const Limits& limits) -> void { m_state->limits.store(std::make_shared<const Limits>(limits)); }

    auto startDraining() -> void { m_state->isDraining = true; }

    [[nodiscard]] auto openRequests() const -> std::size_t { return m_state->openRequests; }

    auto markDestroyed() -> void { m_state->isDestroyed = true; }

private:
    static auto acceptLoop(std::shared_ptr<Implementation> self) -> asio::awaitable<void>
    {
        while (self->m_acceptor.is_open()) {
            Error error;
            auto socket = co_await self->m_acceptor.async_accept(
                asio::make_strand(self->m_context), asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (error) {
                // Accepting can fail for lack of file descriptors: wait before the next attempt.
                asio::steady_timer timer(self->m_acceptor.get_executor(), acceptRetryDelay);
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
                continue;
            }
            self->startConnection(std::move(socket));
            self->acceptWaiting(Runtime::eventBatch);
        }
    }

    auto acceptWaiting(int limit) -> void
    {
        Runtime::acceptWaiting<detail::Socket>(
            m_acceptor, m_context, limit, [this](detail::Socket socket) { startConnection(std::move(socket)); });
    }

    auto closeAcceptor() -> void
    {
        // Closing the listening socket resets the connections in its queue.
        acceptWaiting(Tcp::acceptor::max_listen_connections);
        Error ignored;
        m_acceptor.close(ignored);
    }

    auto endAccepting() -> void
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isAccepting = false;
        }
        finishShutDownIfEmpty();
    }

    auto startConnection(detail::Socket socket) -> void
    {
        const Connection::Environment environment { m_handler, m_state };
        auto connection = std::make_shared<Connection>(std::move(socket), environment);
        const auto executor = connection->executor();
        const auto admission = admit(connection);
        if (admission == Admission::Served) {
            asio::co_spawn(executor, Connection::serve(connection),
                [self = shared_from_this(), connection](const std::exception_ptr&) { self->remove(connection); });
        } else if (admission == Admission::Refused) {
            asio::co_spawn(executor, Connection::refuse(connection),
                [self = shared_from_this()](const std::exception_ptr&) { self->endRefusal(); });
        }
    }

    enum class Admission : std::uint8_t { Served, Refused, Closed };

    auto admit(const std::shared_ptr<Connection>& connection) -> Admission
    {
        const std::lock_guard lock(m_mutex);
        if (m_connections.size() < m_maximumConnections) {
            m_connections.insert(connection);
            return Admission::Served;
        }
        if (m_openRefusals == maximumOpenRefusals)
            return Admission::Closed;
        ++m_openRefusals;
        return Admission::Refused;
    }

    auto endRefusal() -> void
    {
        {
            const std::lock_guard lock(m_mutex);
            --m_openRefusals;
        }
        finishShutDownIfEmpty();
    }

    auto remove(const std::shared_ptr<Connection>& connection) -> void
    {
        {
            const std::lock_guard lock(m_mutex);
            m_connections.erase(connection);
        }
        finishShutDownIfEmpty();
    }

    auto finishShutDownIfEmpty() -> void
    {
        std::function<void()> done;
        {
            const std::lock_guard lock(m_mutex);
            if (!m_state->isShuttingDown || m_isAccepting || m_openRefusals > 0 || !m_connections.empty())
                return;
            done = std::exchange(m_shutDownCallback, nullptr);
        }
        if (done)
            done();
    }

    asio::io_context& m_context;
    asio::basic_socket_acceptor<Tcp, detail::Strand> m_acceptor;
    HttpHandler& m_handler;
    const std::size_t m_maximumConnections;
    std::shared_ptr<detail::ServerState> m_state = std::make_shared<detail::ServerState>();
    std::mutex m_mutex;
    bool m_isAccepting = true;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::size_t m_openRefusals = 0;
    std::function<void()> m_shutDownCallback;
};

auto HttpHandler::handleCancellable(const std::shared_ptr<DisconnectNotifier>&, HttpRequest request, Respond respond)
    -> void
{
    handle(std::move(request), std::move(respond));
}

auto HttpHandler::mayOverlap(const HttpRequest&) const -> bool { return false; }

auto HttpHandler::failureResponse() -> HttpResponse { return { http::status::internal_server_error, httpVersion }; }

auto HttpHandler::overloadedResponse() -> HttpResponse { return { http::status::service_unavailable, httpVersion }; }

Server::Server(asio::io_context& context, const Core::Address& address, HttpHandler& handler, Limits limits)
    : m_implementation(std::make_shared<Implementation>(context, address, handler, limits))
{
    m_implementation->start();
}

Server::~Server() { m_implementation->markDestroyed(); }

auto Server::port() const -> std::uint16_t { return m_implementation->port(); }

auto Server::setLimits(const Limits& limits) -> void { m_implementation->setLimits(limits); }

auto Server::startDraining() -> void { m_implementation->startDraining(); }

auto Server::openRequests() const -> std::size_t { return m_implementation->openRequests(); }

auto Server::shutDown(std::function<void()> done) -> void { m_implementation->shutDown(std::move(done)); }

} // namespace HttpServer
