#include "httpclient/connectionpool.h"

#include "runtime/socketoptions.h"
#include "runtime/socketstate.h"

#include <boost/asio/post.hpp>

namespace HttpClient {

namespace detail {

    namespace {

        /// Connections are not reused this shortly before the end of the Keep-Alive timeout that the server announced,
        /// since the server closes them then.
        constexpr Core::Millis keepAliveMargin { 1000 };

        auto keyOf(const Call& call) -> PoolKey { return { call.address, call.incarnation }; }

        /// Returns the time for which the idle connection can be reused: the Keep-Alive timeout of the response less
        /// keepAliveMargin, and at most the limit.
        auto keepAliveTimeOf(const ResponseHead& response, Core::Duration limit) -> Core::Duration
        {
            constexpr std::string_view parameter = "timeout=";
            const std::string_view value(response[boost::beast::http::field::keep_alive]);
            const auto at = value.find(parameter);
            if (at == std::string_view::npos)
                return limit;
            const auto seconds = std::strtol(std::string(value.substr(at + parameter.size())).c_str(), nullptr, 10);
            return std::min<Core::Duration>(limit, std::chrono::seconds(seconds) - keepAliveMargin);
        }

        auto isReusable(const Connection& connection, const ResponseParser& response) -> bool
        {
            return response.keep_alive() && connection.buffer.size() == 0 && !connection.requestWrite.isIncomplete()
                && !connection.hasUnmatchedResponse && !connection.isCancelled;
        }

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

    auto cancelExchange(const ConnectionPointer& connection, std::uint64_t exchange) -> void
    {
        boost::asio::post(connection->stream.get_executor(), [connection, exchange] {
            // The connection may already be in use by another exchange.
            if (connection->exchangeNumber != exchange)
                return;
            connection->isCancelled = true;
            connection->unacknowledged = Runtime::unacknowledgedBytes(connection->stream.socket().native_handle());
            connection->stream.close();
        });
    }

    auto PendingExchange::cancel() -> void { cancelExchange(m_connection, m_number); }

    ConnectionPool::ConnectionPool(const Limits& limits)
        : m_connectionsPerServer(limits.idleConnectionsPerAddress)
        , m_idleTimeout(limits.idleTimeout)
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

    auto ConnectionPool::settle(const Call& call, const ConnectionPointer& connection, const ResponseParser& response)
        -> void
    {
        ++connection->exchangeNumber;
        if (isReusable(*connection, response)) {
            if (connection->buffer.capacity() >= receiveBufferBytes)
                connection->buffer.shrink_to_fit();
            connection->setUsableFor(keepAliveTimeOf(response.get().base(), m_idleTimeout));
            put(call, connection);
        } else if (connection->requestWrite.isIncomplete() || connection->hasUnmatchedResponse) {
            connection->stream.close();
        } else {
            connection->closeInOrder();
        }
    }

    auto ConnectionPool::dropAfterFailure(const Call& call, const Connection& connection) -> void
    {
        // A cancelled exchange says nothing about the server.
        if (!connection.isReused || connection.isCancelled)
            return;
        m_pools.with(call.address, [&](Pool& pool) { pool.erase(keyOf(call)); });
    }

} // namespace detail

} // namespace HttpClient
