#pragma once

#include "httpserver/httpserver.h"
#include "ports/scheduler.h"

#include <deque>
#include <map>
#include <mutex>

namespace StandIns {

/// Behaviour of an upstream, set at start and through POST /admin/faults with a JSON object of these names.
struct UpstreamBehaviour {
    std::int64_t slots = 3;
    std::int64_t serviceMs = 20;
    bool draining = false;
    /// Sheds each request, unrun.
    bool shedAll = false;
    /// Runs requests and never answers.
    bool silent = false;
    /// Reports this many busy slots whatever the truth; negative for the truth.
    std::int64_t reportedBusy = -1;
    /// Exits when the body of a request contains this text; empty for never.
    std::string crashOn;
};

/// Stand-in for an upstream endpoint. Keeps a book that counts every run by idempotency key or request id.
class UpstreamEndpoint : public HttpServer::HttpHandler {
public:
    UpstreamEndpoint(Ports::Scheduler& scheduler, UpstreamBehaviour behaviour);

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    auto malformed(boost::beast::http::status status, const std::string& detail) -> HttpServer::HttpResponse override;

private:
    struct Waiting {
        HttpServer::HttpRequest request;
        Respond respond;
    };

    auto run(HttpServer::HttpRequest request, const Respond& respond) -> void;
    auto start(HttpServer::HttpRequest request, Respond respond) -> void;
    auto finish(const HttpServer::HttpRequest& request, const Respond& respond) -> void;
    auto cancel(const std::string& id) -> HttpServer::HttpResponse;
    auto load() -> HttpServer::HttpResponse;
    auto book() -> HttpServer::HttpResponse;
    auto setBehaviour(const HttpServer::HttpRequest& request) -> HttpServer::HttpResponse;

    Ports::Scheduler& m_scheduler;
    std::mutex m_mutex;
    UpstreamBehaviour m_behaviour;
    std::int64_t m_busy = 0;
    std::int64_t m_highestBusy = 0;
    std::deque<Waiting> m_waiting;
    std::map<std::string, std::uint64_t> m_book;
};

} // namespace StandIns
