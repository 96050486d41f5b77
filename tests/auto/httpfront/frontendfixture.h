#pragma once

#include "httpfront/httpfront.h"
#include "runtime/asioruntime.h"
#include "standins/rawconnection.h"

#include <functional>
#include <thread>

/// Request handler that echoes the operation and body. Operations below /scripted run the behaviour that the test sets.
class ScriptedHandler : public Ports::RequestHandler {
public:
    using Behaviour = std::function<void(Core::ServiceRequest, Core::ReplyCallback)>;

    auto lookup(const Ports::LookupQuery&) -> Core::Result<Ports::LookupAnswer> override
    {
        return Ports::LookupAnswer {};
    }

    auto handle(Core::ServiceRequest request, Core::ReplyCallback callback) -> void override
    {
        if (request.operation.starts_with("/scripted"))
            behaviour(std::move(request), std::move(callback));
        else
            callback(Core::Answer { request.id, Core::UpstreamId("u"), 200, "text/plain",
                "echo " + request.operation + " " + request.body });
    }

    Behaviour behaviour;
};

/// Serves the HTTP front end on a real socket in this process.
class FrontEndFixture {
public:
    FrontEndFixture()
        : FrontEndFixture(HttpServer::Limits { Core::Bytes(4096), Core::Bytes(64 * 1024), Core::Millis(15'000), 16 })
    {
    }

    explicit FrontEndFixture(HttpServer::Limits limits)
        : m_server(m_runtime.context(), Core::Address("127.0.0.1:0"), m_front, limits)
        , m_thread([this] { m_runtime.run(); })
    {
    }

    ~FrontEndFixture()
    {
        m_runtime.stop();
        m_thread.join();
    }

    FrontEndFixture(const FrontEndFixture&) = delete;
    auto operator=(const FrontEndFixture&) -> FrontEndFixture& = delete;

    auto connect() -> StandIns::RawConnection { return StandIns::RawConnection(m_server.port()); }
    /// Sends the bytes on a new connection and returns everything received until it closes.
    auto exchange(const std::string& bytes) -> std::string
    {
        auto connection = connect();
        connection.send(bytes);
        return connection.readToEnd();
    }
    /// Sends a valid request on another connection and returns true if the complete answer arrives.
    auto servesGoodRequest() -> bool
    {
        const auto reply = exchange(
            "POST /v1/services/stock/pegs HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nConnection: close\r\n\r\ngood");
        return reply.starts_with("HTTP/1.1 200 ") && reply.ends_with("\r\n\r\necho /pegs good");
    }

    auto handler() -> ScriptedHandler& { return m_handler; }
    auto server() -> HttpServer::Server& { return m_server; }

private:
    static constexpr std::size_t threadCount = 2;

    ScriptedHandler m_handler;
    Runtime::SystemClock m_clock;
    Runtime::SystemRandom m_random;
    Runtime::AsioRuntime m_runtime { threadCount };
    HttpFront::HttpFront m_front { m_handler, m_clock, m_random };
    HttpServer::Server m_server;
    std::thread m_thread;
};
