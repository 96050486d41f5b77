#pragma once

#include "httpserver/httpserver.h"
#include "runtime/asioruntime.h"
#include "standins/rawconnection.h"
#include "support/runtimethread.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

/// Holds each request until the test answers it.
class ScriptedHandler : public HttpServer::HttpHandler {
public:
    static constexpr std::chrono::seconds patience { 10 };

    auto handle(HttpServer::HttpRequest, Respond) -> void override { }
    auto handleCancellable(const std::shared_ptr<HttpServer::DisconnectNotifier>& client,
        HttpServer::HttpRequest request, Respond respond) -> void override
    {
        const std::string target(request.target());
        if (client->isDisconnected())
            note(m_startedForNobody, target);
        client->onDisconnect([this, target] { note(m_abandoned, target); });
        {
            const std::lock_guard lock(m_mutex);
            m_responds[target] = std::move(respond);
        }
        note(m_started, target);
    }

    [[nodiscard]] auto mayOverlap(const HttpServer::HttpRequest& request) const -> bool override
    {
        return request.target().starts_with("/safe");
    }

    auto malformedResponse(boost::beast::http::status status, const std::string&) -> HttpServer::HttpResponse override
    {
        return { status, 11 };
    }

    /// Targets of all requests that were started, in order.
    auto started() -> std::vector<std::string> { return copy(m_started); }
    /// Targets of the requests whose client was known to have left when they were started, in order.
    auto startedForNobody() -> std::vector<std::string> { return copy(m_startedForNobody); }
    /// Returns false if fewer requests are started in a long time.
    auto waitForStarted(std::size_t count) -> bool { return waitFor(m_started, count); }
    auto waitForAbandoned(std::size_t count) -> bool { return waitFor(m_abandoned, count); }

    auto answer(const std::string& target, HttpServer::Reply reply) -> void { take(target)(std::move(reply)); }
    auto answer(const std::string& target) -> void { answer(target, textResponse("answer to " + target + '\n')); }
    /// Drops the callback, as a handler that fails does.
    auto drop(const std::string& target) -> void { take(target); }

    static auto textResponse(std::string text) -> HttpServer::HttpResponse
    {
        HttpServer::HttpResponse response { boost::beast::http::status::ok, 11 };
        response.body() = std::move(text);
        return response;
    }

private:
    auto take(const std::string& target) -> Respond
    {
        const std::lock_guard lock(m_mutex);
        return std::move(m_responds.extract(target).mapped());
    }

    auto note(std::vector<std::string>& list, const std::string& target) -> void
    {
        const std::lock_guard lock(m_mutex);
        list.push_back(target);
        m_changed.notify_all();
    }

    auto copy(const std::vector<std::string>& list) -> std::vector<std::string>
    {
        const std::lock_guard lock(m_mutex);
        return list;
    }

    auto waitFor(const std::vector<std::string>& list, std::size_t count) -> bool
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, patience, [&] { return list.size() >= count; });
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Respond> m_responds;
    std::vector<std::string> m_started;
    std::vector<std::string> m_startedForNobody;
    std::vector<std::string> m_abandoned;
};

/// Server with a handler that the test scripts.
struct ScriptedServer {
    explicit ScriptedServer(HttpServer::Limits limits = {})
        : server(runtime.context(), Core::Address("127.0.0.1:0"), handler, limits)
    {
    }
    static constexpr std::size_t threadCount = 2;

    Runtime::AsioRuntime runtime { threadCount };
    ScriptedHandler handler;
    HttpServer::Server server;
    TestSupport::RuntimeThread thread { runtime };
};
