#include "platform/keptconnection.h"

#include "runtime/endpoints.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace PlatformTest {

namespace http = boost::beast::http;

KeptConnection::KeptConnection(const Core::Address& server)
    : m_server(Runtime::requireEndpoint(server))
{
}

auto KeptConnection::connect() -> bool
{
    boost::system::error_code error;
    m_buffer.clear();
    m_socket = boost::asio::ip::tcp::socket(m_context);
    m_socket.connect(m_server, error);
    if (error)
        m_socket.close();
    return !error;
}

auto KeptConnection::send(const std::string& id, int& status) -> End
{
    if (!m_socket.is_open() && !connect())
        return End::Unreachable;
    http::request<http::string_body> request { http::verb::post, "/stock/7", 11 };
    request.set(http::field::host, "desk.example");
    request.set("Attempt-Id", id);
    request.set("Request-Deadline", "3000");
    request.body() = "two pegs";
    request.prepare_payload();
    boost::system::error_code error;
    http::write(m_socket, request, error);
    http::response<http::string_body> response;
    if (!error)
        http::read(m_socket, m_buffer, response, error);
    if (error || !response.keep_alive())
        m_socket.close();
    if (error)
        return End::NoAnswer;
    status = static_cast<int>(response.result_int());
    return End::Answered;
}

auto KeptConnection::sendPipelined(const std::vector<std::string>& ids, bool& isReachable) -> std::vector<int>
{
    isReachable = m_socket.is_open() || connect();
    if (!isReachable)
        return {};
    std::string requests;
    for (const auto& id : ids)
        requests += "GET /prices/7 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id
            + "\r\nRequest-Deadline: 3000\r\n\r\n";
    boost::system::error_code error;
    boost::asio::write(m_socket, boost::asio::buffer(requests), error);
    std::vector<int> statuses;
    for (const auto& id : ids) {
        const auto status = readStatus(id);
        if (!status)
            break;
        statuses.push_back(*status);
    }
    return statuses;
}

auto KeptConnection::readStatus(const std::string& id) -> std::optional<int>
{
    if (!m_socket.is_open())
        return std::nullopt;
    boost::system::error_code error;
    http::response<http::string_body> response;
    http::read(m_socket, m_buffer, response, error);
    if (error || !response.keep_alive())
        m_socket.close();
    // Answers of upstreams bear the id of their request.
    if (error || (response.result() == http::status::ok && response["Attempt-Id"] != id))
        return std::nullopt;
    return static_cast<int>(response.result_int());
}

} // namespace PlatformTest
