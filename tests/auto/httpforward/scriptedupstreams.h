#pragma once

#include "core/ids.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace HttpForwardTest {

/// Upstream on a real socket that answers each request head with the next of the given texts, in which ID stands for
/// the request's id. Keeps what it was sent. An empty text closes the connection, "SLOW " before a text
/// delays it.
class ScriptedUpstream {
public:
    explicit ScriptedUpstream(std::vector<std::string> answers)
        : m_answers(std::move(answers))
        , m_thread([this] { serve(); })
    {
    }

    ~ScriptedUpstream()
    {
        m_isStopping = true;
        endConnection();
        // Wakes the accepting thread.
        boost::system::error_code ignored;
        boost::asio::ip::tcp::socket waker(m_context);
        waker.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    ScriptedUpstream(const ScriptedUpstream&) = delete;
    auto operator=(const ScriptedUpstream&) -> ScriptedUpstream& = delete;

    [[nodiscard]] auto address() const -> Core::Address
    {
        return Core::Address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    }

    [[nodiscard]] auto heads() -> std::vector<std::string>
    {
        const std::lock_guard lock(m_mutex);
        return m_heads;
    }

    [[nodiscard]] auto connections() const -> int { return m_connections; }
    /// The peer closed a connection while its request was not answered.
    [[nodiscard]] auto wasLeft() const -> bool { return m_wasLeft; }

    /// Ends the connection that is served now.
    auto endConnection() -> void
    {
        const std::lock_guard lock(m_mutex);
        boost::system::error_code ignored;
        if (m_current)
            m_current->shutdown(Socket::shutdown_both, ignored);
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    auto serve() -> void
    {
        while (!m_isStopping) {
            auto socket = std::make_shared<Socket>(m_acceptor.accept());
            {
                const std::lock_guard lock(m_mutex);
                m_current = socket;
            }
            if (m_isStopping)
                return;
            ++m_connections;
            serveConnection(*socket);
            const std::lock_guard lock(m_mutex);
            m_current.reset();
        }
    }

    auto serveConnection(Socket& socket) -> void
    {
        boost::asio::streambuf buffer;
        while (true) {
            boost::system::error_code error;
            const auto size = boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
            if (error)
                return;
            const std::string head(boost::asio::buffers_begin(buffer.data()),
                boost::asio::buffers_begin(buffer.data()) + static_cast<std::ptrdiff_t>(size));
            buffer.consume(size);
            auto answer = take(head);
            const std::string slowMark = "SLOW ";
            if (answer.starts_with(slowMark)) {
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
                answer.erase(0, slowMark.size());
            }
            if (answer == "SILENCE") {
                awaitLeaving(socket);
                return;
            }
            if (answer.empty())
                return;
            boost::asio::write(socket, boost::asio::buffer(answer), error);
            if (answer.find("Connection: close") != std::string::npos)
                return;
        }
    }

    auto awaitLeaving(Socket& socket) -> void
    {
        char byte = 0;
        boost::system::error_code error;
        socket.read_some(boost::asio::buffer(&byte, 1), error);
        m_wasLeft = error.failed();
    }

    auto take(const std::string& head) -> std::string
    {
        const std::lock_guard lock(m_mutex);
        m_heads.push_back(head);
        if (m_heads.size() > m_answers.size())
            return {};
        auto answer = m_answers[m_heads.size() - 1];
        const std::string marker = "\r\nRequest-Id: ";
        const auto at = head.find(marker);
        const auto id = at == std::string::npos
            ? std::string()
            : head.substr(at + marker.size(), head.find("\r\n", at + 2) - at - marker.size());
        for (auto place = answer.find("ID"); place != std::string::npos; place = answer.find("ID"))
            answer.replace(place, 2, id);
        return answer;
    }

    std::vector<std::string> m_answers;
    std::mutex m_mutex;
    std::vector<std::string> m_heads;
    std::atomic<int> m_connections { 0 };
    std::atomic<bool> m_wasLeft { false };
    std::atomic<bool> m_isStopping { false };
    boost::asio::io_context m_context;
    /// Connection that is served now; must go before the context that it belongs to.
    std::shared_ptr<Socket> m_current;
    boost::asio::ip::tcp::acceptor m_acceptor { m_context, { boost::asio::ip::address_v4::loopback(), 0 } };
    std::thread m_thread;
};

} // namespace HttpForwardTest
