#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>

namespace HttpServer {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// The client of one request, for as long as its answer is awaited.
class ClientPresence {
public:
    virtual ~ClientPresence() = default;
    /// Calls back once, from any thread, when the client closes its connection before it has the answer.
    virtual auto onGone(std::function<void()> callback) -> void = 0;
};

/// Answers decoded HTTP requests.
class HttpHandler {
public:
    using Respond = std::function<void(HttpResponse)>;

    virtual ~HttpHandler() = default;
    /// Calls respond once, from any thread; further calls are ignored.
    virtual auto handle(HttpRequest request, Respond respond) -> void = 0;
    /// As above, for handlers whose work should end when its client has gone.
    virtual auto handleFor(const std::shared_ptr<ClientPresence>& client, HttpRequest request, Respond respond) -> void;
    /// Response to a request that could not be parsed.
    virtual auto malformed(boost::beast::http::status status, const std::string& detail) -> HttpResponse = 0;
    /// Response to a request whose handler threw, or gave up without responding.
    virtual auto failed() -> HttpResponse;
    /// Response to a connection beyond the limit, before any request was read.
    virtual auto overloaded() -> HttpResponse;
};

struct Limits {
    Core::Bytes maximumHeader { 16 * 1024 };
    Core::Bytes maximumBody { 1024 * 1024 };
    /// Time for which a connection may be idle, or take to send one request.
    Core::Millis idleTimeout { 60'000 };
    /// Connections beyond this are told so and closed.
    std::size_t maximumConnections = 4096;
    /// Time that a client may take from the first byte of a request to the end of its header; zero for idleTimeout.
    Core::Millis headerTimeout { 0 };
    /// Bytes of all bodies that are read or answered at the same time. Further requests are told to come back.
    Core::Bytes maximumBodyTotal { 256UL * 1024 * 1024 };
};

/// HTTP/1.1 server on one listening socket. The handler must outlive the context's threads.
class Server {
public:
    /// Listens at once. Throws boost::system::system_error when the address cannot be bound.
    Server(boost::asio::io_context& context, const Core::Address& address, HttpHandler& handler, Limits limits = {});
    ~Server();

    /// Port that the server listens on; useful when the address gave port 0.
    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Takes effect for the next request on each connection.
    auto setLimits(const Limits& limits) -> void;
    /// Answers from now on end their connections; new connections are still accepted.
    auto startDraining() -> void;
    /// Requests that were read and not yet answered.
    [[nodiscard]] auto openRequests() const -> std::size_t;
    /// Accepts no more connections, closes idle ones, and calls back when the last request in flight was answered.
    auto shutDown(std::function<void()> done) -> void;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace HttpServer
