#pragma once

#include "httpclient/connectionpool.h"
#include "httpclient/responseparser.h"
#include "ports/bodystream.h"

namespace HttpClient::detail {

/// Body of a large response. Its connection belongs to the exchange until the body has ended whole; nothing is read
/// from it unless a part is asked for.
class ResponseBody : public Ports::BodyStream, public std::enable_shared_from_this<ResponseBody> {
public:
    /// The parser has read the head, and the first part of the body.
    ResponseBody(std::shared_ptr<ConnectionPool> pool, ConnectionPointer connection, std::shared_ptr<const Call> call,
        std::unique_ptr<ResponseParser> parser);

    auto read(PartCallback callback) -> void override;
    auto cancel() -> void override;

private:
    /// Returns the bytes that were received and not read yet, after it has received some if there are none. They are
    /// empty once the body has ended.
    static auto readPart(std::shared_ptr<ResponseBody> self) -> boost::asio::awaitable<Core::Result<std::string>>;
    [[nodiscard]] auto isCancelled() const -> bool;
    auto receive() -> boost::asio::awaitable<boost::system::error_code>;
    [[nodiscard]] auto failed(const boost::system::error_code& error) const -> tl::unexpected<Core::Error>;

    const std::shared_ptr<ConnectionPool> m_pool;
    const ConnectionPointer m_connection;
    const std::shared_ptr<const Call> m_call;
    const std::unique_ptr<ResponseParser> m_parser;
    /// Number of the exchange, after whose end the connection is no longer touched.
    const std::uint64_t m_exchange;
};

} // namespace HttpClient::detail
