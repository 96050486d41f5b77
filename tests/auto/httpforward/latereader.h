#pragma once

#include "exchangefixture.h"

namespace HttpForwardTest {

/// Upstream that accepts a connection and reads nothing of the large request on it until the test does.
struct LateReader : ExchangeClientFixture {
    auto startLargeRequest(Core::Duration timeLeft) -> std::shared_ptr<Ports::Exchange>
    {
        constexpr std::size_t bodyBytes = 32UL * 1024 * 1024;
        HttpServer::HttpRequest request { boost::beast::http::verb::post, "/stock/7", 11 };
        request.set("Request-Id", "r1");
        request.body() = std::string(bodyBytes, 'x');
        auto large = call(Core::Address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())), "r1");
        large.request = std::make_shared<HttpForward::RequestMessage>(request);
        large.timeLeft = timeLeft;
        result = {};
        auto pending = exchanges.start(
            std::move(large), [this](Ports::ExchangeResult ended) { result.set_value(std::move(ended)); });
        acceptor.accept(socket);
        return pending;
    }

    /// Waits until the sender's buffer has filled.
    auto waitUntilBlocked() -> void
    {
        for (std::size_t before = 0, available = 1; before != available; available = socket.available()) {
            before = available;
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }

    /// Reads what was delivered, and returns how the connection ended.
    auto readToEnd() -> boost::system::error_code
    {
        boost::system::error_code error;
        std::vector<char> bytes(64UL * 1024);
        while (!error)
            socket.read_some(boost::asio::buffer(bytes), error);
        return error;
    }

    auto answerWith(const std::string& bytes) -> void { boost::asio::write(socket, boost::asio::buffer(bytes)); }

    auto resetConnection() -> void
    {
        socket.set_option(boost::asio::socket_base::linger(true, 0));
        socket.close();
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor { context, { boost::asio::ip::address_v4::loopback(), 0 } };
    boost::asio::ip::tcp::socket socket { context };
    std::promise<Ports::ExchangeResult> result;
};

} // namespace HttpForwardTest
