#pragma once

#include "httpserver/serverstate.h"
#include "httpserver/timedsocket.h"
#include "runtime/strandevent.h"

#include <optional>

namespace HttpServer {

namespace detail {

    /// Reads a body part by part. Used on the strand of one connection. Cancels the body unless its end was read.
    class PartReader : public std::enable_shared_from_this<PartReader> {
    public:
        PartReader(std::shared_ptr<Ports::BodyStream> body, Strand executor, std::shared_ptr<const ServerState> server);
        ~PartReader();
        PartReader(const PartReader&) = delete;
        auto operator=(const PartReader&) -> PartReader& = delete;

        /// Returns the next part, which is empty at the end, or std::nullopt if the body broke off or stop() was
        /// called.
        static auto read(std::shared_ptr<PartReader> self) -> boost::asio::awaitable<std::optional<std::string>>;
        /// Cancels the body and ends a read in progress, because the client has left.
        auto stop() -> void;

    private:
        auto deliver(Core::Result<std::string> part) -> void;

        const std::shared_ptr<Ports::BodyStream> m_body;
        const Strand m_executor;
        const std::shared_ptr<const ServerState> m_server;
        Runtime::StrandEvent m_wakeUp;
        std::optional<Core::Result<std::string>> m_part;
        bool m_isStopped = false;
        bool m_hasEnded = false;
    };

} // namespace detail

} // namespace HttpServer
