#include "peerstream/peerstreamserver.h"

#include "peerstream/serverconnection.h"
#include "runtime/endpoints.h"
#include "runtime/eventbatch.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <mutex>
#include <set>

namespace PeerStream {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, Strand>;

namespace {

    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

class PeerStreamServer::Implementation : public std::enable_shared_from_this<PeerStreamServer::Implementation> {
public:
    Implementation(asio::io_context& context, const Core::Address& address, const HandlerTable& handlers,
        TrafficCounters& traffic, ClockPropagator clock)
        : m_context(context)
        , m_acceptor(asio::make_strand(context), Runtime::requireEndpoint(address))
        , m_retryTimer(m_acceptor.get_executor())
        , m_handlers(handlers)
        , m_traffic(traffic)
        , m_clock(clock)
    {
    }

    auto acceptNext() -> void
    {
        auto strand = asio::make_strand(m_context);
        m_acceptor.async_accept(strand, [self = shared_from_this()](ErrorCode error, Socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (error) {
                self->acceptAfterDelay();
                return;
            }
            self->addConnection(std::move(socket));
            Runtime::acceptWaiting<Socket>(self->m_acceptor, self->m_context, Runtime::eventBatch,
                [&self](Socket waiting) { self->addConnection(std::move(waiting)); });
            self->acceptNext();
        });
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }

    auto shutDown(std::function<void()> done) -> void
    {
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            self->m_retryTimer.cancel();
            self->m_acceptor.close();
        });
        std::set<std::shared_ptr<ServerConnection>> connections;
        {
            const std::lock_guard lock(m_mutex);
            m_isShuttingDown = true;
            m_shutdownCallback = std::move(done);
            connections = m_connections;
        }
        for (const auto& connection : connections)
            connection->shutDown();
        completeShutdownIfEmpty();
    }

    /// Releases the connections, which hold shared pointers to this object in their callbacks.
    auto releaseConnections() -> void
    {
        std::set<std::shared_ptr<ServerConnection>> connections;
        const std::lock_guard lock(m_mutex);
        connections.swap(m_connections);
    }

private:
    auto acceptAfterDelay() -> void
    {
        m_retryTimer.expires_after(acceptRetryDelay);
        m_retryTimer.async_wait([self = shared_from_this()](ErrorCode error) {
            if (!error)
                self->acceptNext();
        });
    }

    auto addConnection(Socket socket) -> void
    {
        auto onClosed = [self = shared_from_this()](const std::shared_ptr<ServerConnection>& connection) {
            self->removeConnection(connection);
        };
        auto connection = std::make_shared<ServerConnection>(
            std::move(socket), m_handlers, m_traffic, m_clock, std::move(onClosed));
        {
            const std::lock_guard lock(m_mutex);
            if (m_isShuttingDown)
                return;
            m_connections.insert(connection);
        }
        connection->start();
    }

    auto removeConnection(const std::shared_ptr<ServerConnection>& connection) -> void
    {
        {
            const std::lock_guard lock(m_mutex);
            m_connections.erase(connection);
        }
        completeShutdownIfEmpty();
    }

    auto completeShutdownIfEmpty() -> void
    {
        std::function<void()> done;
        {
            const std::lock_guard lock(m_mutex);
            if (!m_isShuttingDown || !m_connections.empty())
                return;
            done = std::exchange(m_shutdownCallback, nullptr);
        }
        if (done)
            done();
    }

    asio::io_context& m_context;
    Acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    const HandlerTable& m_handlers;
    TrafficCounters& m_traffic;
    ClockPropagator m_clock;
    std::mutex m_mutex;
    std::set<std::shared_ptr<ServerConnection>> m_connections;
    bool m_isShuttingDown = false;
    std::function<void()> m_shutdownCallback;
};

PeerStreamServer::PeerStreamServer(asio::io_context& context, const Core::Address& address,
    const HandlerTable& handlers, TrafficCounters& traffic, Ports::CausalClock* clock)
    : m_implementation(std::make_shared<Implementation>(context, address, handlers, traffic, ClockPropagator(clock)))
{
    m_implementation->acceptNext();
}

PeerStreamServer::~PeerStreamServer() { m_implementation->releaseConnections(); }

auto PeerStreamServer::port() const -> std::uint16_t { return m_implementation->port(); }

auto PeerStreamServer::shutDown(std::function<void()> done) -> void { m_implementation->shutDown(std::move(done)); }

} // namespace PeerStream
