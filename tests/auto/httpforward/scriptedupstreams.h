#pragma once

#include "core/ids.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace HttpForwardTest {

/// Upstream on a real socket that answers each request head with the next of the given texts, in which ID is replaced
/// by the request's id, and records the heads. An empty text closes the connection, the prefix "SLOW " delays the
/// answer, and "SILENCE" sends none and waits until the peer closes the connection. After the prefix "CLOSE " the
/// connection is closed behind the answer, after "RESET " it is reset, and after "ENDLESS " the part of the
/// answer behind the last '|' is repeated until the peer closes the connection; if there is none, no more is sent.
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
        shutDownConnection();
        // Unblocks accept() in the serving thread.
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

    [[nodiscard]] auto requestHeads() -> std::vector<std::string>
    {
        const std::lock_guard lock(m_mutex);
        return m_requestHeads;
    }

    [[nodiscard]] auto connections() const -> int { return m_connections; }
    /// Returns true if the peer closed a connection whose request was not answered.
    [[nodiscard]] auto hasPeerClosed() const -> bool { return m_hasPeerClosed; }

    /// Returns the number of bytes of endless answers that were written.
    [[nodiscard]] auto endlessBytes() const -> std::size_t { return m_endlessBytes; }

    /// Shuts down the connection that is being served.
    auto shutDownConnection() -> void
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
            auto answer = nextAnswer(head);
            const std::string slowMarker = "SLOW ";
            if (answer.starts_with(slowMarker)) {
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
                answer.erase(0, slowMarker.size());
            }
            if (answer == "SILENCE") {
                awaitPeerClose(socket);
                return;
            }
            if (answer.empty())
                return;
            if (answer.starts_with("ENDLESS ")) {
                writeWithoutEnd(socket, answer.substr(8));
                return;
            }
            if (answer.starts_with("CLOSE ") || answer.starts_with("RESET ")) {
                boost::asio::write(socket, boost::asio::buffer(answer.substr(6)), error);
                if (answer.starts_with("RESET ")) {
                    // Lets the answer arrive first.
                    std::this_thread::sleep_for(std::chrono::milliseconds(50));
                    socket.set_option(boost::asio::socket_base::linger(true, 0), error);
                    // The destructor would end the connection in order.
                    socket.close(error);
                }
                return;
            }
            boost::asio::write(socket, boost::asio::buffer(answer), error);
            if (answer.find("Connection: close") != std::string::npos)
                return;
        }
    }

    /// Writes the part before the last '|' once, and the part behind it again and again.
    auto writeWithoutEnd(Socket& socket, const std::string& answer) -> void
    {
        boost::system::error_code error;
        const auto last = answer.rfind('|');
        m_endlessBytes += boost::asio::write(socket, boost::asio::buffer(answer.substr(0, last)), error);
        const auto part = answer.substr(last + 1);
        if (part.empty()) {
            awaitPeerClose(socket);
            return;
        }
        std::string repeated;
        while (repeated.size() < 16UL * 1024)
            repeated += part;
        while (!error && !m_isStopping)
            m_endlessBytes += boost::asio::write(socket, boost::asio::buffer(repeated), error);
        m_hasPeerClosed = error.failed();
    }

    auto awaitPeerClose(Socket& socket) -> void
    {
        char byte = 0;
        boost::system::error_code error;
        socket.read_some(boost::asio::buffer(&byte, 1), error);
        m_hasPeerClosed = error.failed();
    }

    auto nextAnswer(const std::string& head) -> std::string
    {
        const std::lock_guard lock(m_mutex);
        m_requestHeads.push_back(head);
        if (m_requestHeads.size() > m_answers.size())
            return {};
        auto answer = m_answers[m_requestHeads.size() - 1];
        const std::string marker = "\r\nRequest-Id: ";
        const auto at = head.find(marker);
        const auto id = at == std::string::npos
            ? std::string()
            : head.substr(at + marker.size(), head.find("\r\n", at + 2) - at - marker.size());
        for (auto position = answer.find("ID"); position != std::string::npos; position = answer.find("ID"))
            answer.replace(position, 2, id);
        return answer;
    }

    std::vector<std::string> m_answers;
    std::mutex m_mutex;
    std::vector<std::string> m_requestHeads;
    std::atomic<int> m_connections { 0 };
    std::atomic<bool> m_hasPeerClosed { false };
    std::atomic<std::size_t> m_endlessBytes { 0 };
    std::atomic<bool> m_isStopping { false };
    boost::asio::io_context m_context;
    /// Connection that is being served; must be destroyed before m_context.
    std::shared_ptr<Socket> m_current;
    boost::asio::ip::tcp::acceptor m_acceptor { m_context, { boost::asio::ip::address_v4::loopback(), 0 } };
    std::thread m_thread;
};

/// Waits until the peer has closed a connection whose request was not answered. Returns false if it has not within the
/// limit.
inline auto closesWithin(const ScriptedUpstream& upstream, std::chrono::milliseconds limit) -> bool
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!upstream.hasPeerClosed() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return upstream.hasPeerClosed();
}

} // namespace HttpForwardTest
