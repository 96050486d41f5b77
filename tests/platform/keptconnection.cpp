#include "platform/keptconnection.h"

#include "runtime/endpoints.h"

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

} // namespace PlatformTest
