#pragma once

#include "core/ids.h"
#include "core/requestorigin.h"
#include "core/units.h"
#include "ports/bodystream.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <variant>

namespace HttpServer {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Response whose body is still arriving. The head has a Content-Length or "chunked", which the body keeps to.
struct StreamedResponse {
    HttpResponse head;
    std::shared_ptr<Ports::BodyStream> body;
};

using Reply = std::variant<HttpResponse, StreamedResponse>;

/// Tells the handler of one request where it came in, and whether the client is still connected. Thread-safe.
class DisconnectNotifier {
public:
    virtual ~DisconnectNotifier() = default;
    /// Calls back once, from any thread, when the client closes its connection before the response is delivered.
    virtual auto onDisconnect(std::function<void()> callback) -> void = 0;
    /// Looks at the connection itself, and so notices a disconnect before onDisconnect() calls back.
    [[nodiscard]] virtual auto isDisconnected() const -> bool = 0;
    [[nodiscard]] virtual auto origin() const -> Core::RequestOrigin = 0;
};

/// Handles parsed HTTP requests.
class HttpHandler {
public:
    using Respond = std::function<void(Reply)>;

    virtual ~HttpHandler() = default;
    /// Calls respond once, from any thread; further calls are ignored.
    virtual auto handle(HttpRequest request, Respond respond) -> void = 0;
    /// As handle(), for handlers that cancel their work when the client disconnects. Calls handle() by default.
    virtual auto handleCancellable(
        const std::shared_ptr<DisconnectNotifier>& client, HttpRequest request, Respond respond) -> void;
    /// Returns true if the request, which has no body, may run while others of its connection run. Then the connection
    /// starts it before those in front of it are answered. Returns false by default.
    [[nodiscard]] virtual auto mayOverlap(const HttpRequest& request) const -> bool;
    /// Returns the response to a request that could not be parsed.
    virtual auto malformedResponse(boost::beast::http::status status, const std::string& detail) -> HttpResponse = 0;
    /// Returns the response to a request whose handler threw an exception or dropped the callback.
    virtual auto failureResponse() -> HttpResponse;
    /// Returns the response for a connection or a request that is refused because a limit of the server is reached.
    virtual auto overloadedResponse() -> HttpResponse;
};

struct Limits {
    Core::Bytes maximumHeader { 16 * 1024 };
    Core::Bytes maximumBody { 1024 * 1024 };
    /// Timeout for an idle connection, for receiving a request and for writing a response.
    Core::Millis idleTimeout { 60'000 };
    /// Connections beyond this number receive the overloaded response and are closed.
    std::size_t maximumConnections = 4096;
    /// Timeout for receiving a request header after its first byte; zero selects idleTimeout.
    Core::Millis headerTimeout { 0 };
    /// Total size of the bodies of all requests in flight. Further requests receive the overloaded response.
    Core::Bytes maximumBodyTotal { 256UL * 1024 * 1024 };
    /// Requests of one connection that run, or wait with their response for those in front of them, at the same time.
    std::size_t maximumPipelined = 8;
    /// Size of the responses of one connection that wait to be written, beyond which it starts no further request.
    Core::Bytes maximumWaitingResponses { 256UL * 1024 };
};

/// HTTP/1.1 server on one listening socket. The handler must outlive the context's threads.
class Server {
public:
    /// Starts listening immediately. Throws boost::system::system_error if the address cannot be bound.
    Server(boost::asio::io_context& context, const Core::Address& address, HttpHandler& handler, Limits limits = {});
    ~Server();

    /// Returns the port that the server listens on, which the system chooses when the address has port 0.
    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Takes effect for the next request on each connection, except maximumConnections, which cannot be changed.
    auto setLimits(const Limits& limits) -> void;
    /// Closes each connection after its next response; new connections are still accepted.
    auto startDraining() -> void;
    /// Returns the number of requests that were read and not yet answered.
    [[nodiscard]] auto openRequests() const -> std::size_t;
    /// Stops accepting connections, closes idle ones, and calls back after the last request in flight is answered.
    auto shutDown(std::function<void()> done) -> void;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace HttpServer
