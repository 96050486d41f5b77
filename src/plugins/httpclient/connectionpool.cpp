#include "httpclient/connectionpool.h"

#include "runtime/socketoptions.h"
#include "runtime/socketpeek.h"

#include <boost/asio/post.hpp>

namespace HttpClient {

namespace detail {

    namespace {

        auto keyOf(const Call& call) -> PoolKey { return { call.address, call.incarnation }; }

    } // namespace

    Connection::~Connection()
    {
        if (isIdle)
            closeInOrder();
    }

    auto Connection::closeInOrder() -> void
    {
        Runtime::setResetOnClose(stream.socket().native_handle(), false);
        stream.close();
    }

    auto Connection::setUsableFor(Core::Duration time) -> void
    {
        usableUntil = std::chrono::steady_clock::now() + time;
    }

    auto Connection::isStillOpen() -> bool
    {
        return Runtime::peek(stream.socket().native_handle()) == Runtime::PeekResult::Nothing;
    }

    PendingExchange::PendingExchange(ConnectionPointer connection)
        : m_connection(std::move(connection))
        , m_number(++m_connection->exchangeNumber)
    {
    }

    auto PendingExchange::cancel() -> void
    {
        boost::asio::post(m_connection->stream.get_executor(), [connection = m_connection, number = m_number] {
            // The connection may already be in use by another exchange.
            if (connection->exchangeNumber != number)
                return;
            connection->isCancelled = true;
            connection->stream.close();
        });
    }

    ConnectionPool::ConnectionPool(std::size_t connectionsPerServer)
        : m_connectionsPerServer(connectionsPerServer)
    {
    }

    auto ConnectionPool::take(const Call& call) -> ConnectionPointer
    {
        bool hasClosedConnection = false;
        auto connection
            = m_pools.with(call.address, [&](Pool& pool) { return take(pool, keyOf(call), hasClosedConnection); });
        if (!connection && hasClosedConnection && call.onIdleConnectionClosed)
            call.onIdleConnectionClosed();
        return connection;
    }

    auto ConnectionPool::take(Pool& pool, const PoolKey& key, bool& hasClosedConnection) -> ConnectionPointer
    {
        const auto found = pool.find(key);
        if (found == pool.end())
            return nullptr;
        auto& connections = found->second;
        while (!connections.empty()) {
            auto connection = std::move(connections.back());
            connections.pop_back();
            if (connection->usableUntil <= std::chrono::steady_clock::now())
                continue;
            if (connection->isStillOpen()) {
                connection->isReused = true;
                connection->isIdle = false;
                return connection;
            }
            hasClosedConnection = true;
        }
        return nullptr;
    }

    auto ConnectionPool::put(const Call& call, const ConnectionPointer& connection) -> void
    {
        connection->stream.expires_never();
        connection->isIdle = true;
        m_pools.with(call.address, [&](Pool& pool) {
            auto& connections = pool[keyOf(call)];
            if (connections.size() < m_connectionsPerServer)
                connections.push_back(connection);
        });
    }

    auto ConnectionPool::drop(const Call& call) -> void
    {
        m_pools.with(call.address, [&](Pool& pool) { pool.erase(keyOf(call)); });
    }

} // namespace detail

} // namespace HttpClient
