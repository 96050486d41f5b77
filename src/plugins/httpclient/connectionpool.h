#pragma once

#include "core/sharded.h"
#include "httpclient/concurrentwrite.h"
#include "httpclient/httpclient.h"
#include "httpclient/responseparser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <unordered_map>

namespace HttpClient {

namespace detail {

    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
    using Stream = boost::beast::basic_stream<boost::asio::ip::tcp, Strand>;

    /// Bytes that may wait for the rest of a line, for example of a chunk's header, before they can be parsed.
    inline constexpr std::size_t maximumBufferedBytes = 128UL * 1024;

    /// Bytes that are received at once of a large body.
    inline constexpr std::size_t receiveBufferBytes = 32UL * 1024;

    /// Connection to a server. If it closes while the server may have a request to read or to run, it is reset, so that
    /// the server does no more work that nobody waits for.
    struct Connection {
        explicit Connection(boost::asio::io_context& context)
            : stream(boost::asio::make_strand(context))
            , requestWrite(stream.get_executor())
        {
        }
        ~Connection();
        Connection(const Connection&) = delete;
        auto operator=(const Connection&) -> Connection& = delete;

        /// Ends the stream after everything that was written, in place of a reset.
        auto closeInOrder() -> void;
        auto setUsableFor(Core::Duration time) -> void;
        /// Returns true if the idle connection has nothing to read: neither an end of stream nor unexpected bytes.
        [[nodiscard]] auto isStillOpen() -> bool;

        Stream stream;
        boost::beast::flat_buffer buffer { maximumBufferedBytes };
        bool isReused = false;
        bool isIdle = false;
        bool isCancelled = false;
        /// Bytes that were not acknowledged by the server when the exchange was cancelled.
        Core::Bytes unacknowledged;
        /// Number of the exchange in progress; incremented when it starts and when it ends. Accessed on the strand, or
        /// while there is only one owner.
        std::uint64_t exchangeNumber = 0;
        /// Write of the request, if it is too long to be written before the response is read.
        ConcurrentWrite requestWrite;
        /// A response arrived that does not belong to the request, or may not.
        bool hasUnmatchedResponse = false;
        std::chrono::steady_clock::time_point usableUntil;
    };

    using ConnectionPointer = std::shared_ptr<Connection>;

    /// Closes the connection unless the exchange has ended. Thread-safe.
    auto cancelExchange(const ConnectionPointer& connection, std::uint64_t exchange) -> void;

    /// Handle of the exchange in progress on a connection.
    class PendingExchange : public PendingCall {
    public:
        explicit PendingExchange(ConnectionPointer connection);

        auto cancel() -> void override;

    private:
        ConnectionPointer m_connection;
        const std::uint64_t m_number;
    };

    struct PoolKey {
        Core::Address address;
        std::string incarnation;
        friend auto operator==(const PoolKey&, const PoolKey&) -> bool = default;
    };

    struct PoolKeyHash {
        auto operator()(const PoolKey& key) const noexcept -> std::size_t
        {
            return std::hash<Core::Address> {}(key.address) ^ (std::hash<std::string> {}(key.incarnation) << 1U);
        }
    };

    /// Idle connections, by server process. Thread-safe.
    class ConnectionPool {
    public:
        explicit ConnectionPool(const Limits& limits);

        /// Returns an idle connection that is still open, or null. Reports to the call if the server closed one.
        auto take(const Call& call) -> ConnectionPointer;
        /// Keeps the connection until the end of the time for which it is usable, unless there are enough.
        auto put(const Call& call, const ConnectionPointer& connection) -> void;
        /// Ends the exchange whose response has been read whole. Keeps its connection if it can serve another.
        auto settle(const Call& call, const ConnectionPointer& connection, const ResponseParser& response) -> void;
        /// Closes all idle connections to the server of the call if one of them has failed: the others have often
        /// failed for the same reason.
        auto dropAfterFailure(const Call& call, const Connection& connection) -> void;

    private:
        using Pool = std::unordered_map<PoolKey, std::vector<ConnectionPointer>, PoolKeyHash>;

        static auto take(Pool& pool, const PoolKey& key, bool& hasClosedConnection) -> ConnectionPointer;

        const std::size_t m_connectionsPerServer;
        const Core::Duration m_idleTimeout;
        Core::Sharded<Pool> m_pools;
    };

} // namespace detail

} // namespace HttpClient
