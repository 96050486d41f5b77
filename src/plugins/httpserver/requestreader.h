#pragma once

#include "httpserver/closewatch.h"
#include "httpserver/responsewriter.h"
#include "httpserver/serverstate.h"
#include "runtime/strandevent.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace HttpServer {

namespace detail {

    /// Reads the requests of a connection, and what the client sends while requests run.
    class RequestReader {
    public:
        using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

        RequestReader(TimedSocket& socket, ResponseWriter& writer, std::shared_ptr<ServerState> server);

        auto setLimits(std::shared_ptr<const Limits> limits) -> void;
        /// Reads one request. Must not be called while it reads ahead.
        auto read(Parser& parser) -> boost::asio::awaitable<boost::system::error_code>;
        /// Returns true if the last request was not read, because there is no room for its body.
        [[nodiscard]] auto isBodyRefused() const -> bool { return m_isBodyRefused; }
        /// Returns the room of the last request's body.
        auto releaseBody() -> void;
        [[nodiscard]] auto hasInput() const -> bool;

        /// Returns the next request if it was read ahead, is well-formed and has no body. It stays the next one until
        /// it is taken, or, if it is held back, until read().
        auto peekRequest() -> std::optional<HttpRequest>;
        auto takePeeked() -> void;
        auto holdBackPeeked() -> void { m_isHeldBack = true; }

        /// Calls back with true when bytes were read, or with false when the client has closed its connection.
        using InputCallback = std::function<void(bool isOpen)>;
        /// Reads ahead once. If as much as allowed is read already, it only watches whether the client closes.
        auto readAhead(InputCallback callback) -> void;
        /// Reads nothing, and calls back with false when the client has closed its connection.
        auto watchForClose(InputCallback callback) -> void;
        /// Ends the reading ahead and the watch.
        auto stopReadingAhead() -> boost::asio::awaitable<void>;

    private:
        auto prepareParser(Parser& parser) const -> void;
        /// Reserves part of maximumBodyTotal for the body that follows. Returns false if too little is left.
        auto reserveBody(Parser& parser) -> bool;
        /// Waits for bytes without memory for them: the requests in the buffer are taken out of it meanwhile.
        auto waitForInput(InputCallback callback) -> void;
        auto handleInput(boost::system::error_code error, InputCallback callback) -> void;
        /// Reads what has arrived. Fails with would_block if that is nothing.
        auto readArrived() -> boost::system::error_code;

        TimedSocket& m_socket;
        ResponseWriter& m_writer;
        const std::shared_ptr<ServerState> m_server;
        std::shared_ptr<const Limits> m_limits;
        boost::beast::flat_buffer m_buffer;
        std::uint64_t m_reservedBytes = 0;
        bool m_isBodyRefused = false;
        std::size_t m_peekedBytes = 0;
        bool m_isHeldBack = false;
        bool m_isReadingAhead = false;
        bool m_isStopping = false;
        Runtime::StrandEvent m_stopped;
        CloseWatch m_closeWatch;
    };

} // namespace detail

} // namespace HttpServer
