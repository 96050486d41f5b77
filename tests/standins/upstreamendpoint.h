#pragma once

#include "httpserver/httpserver.h"
#include "ports/scheduler.h"

#include <deque>
#include <map>
#include <mutex>

namespace StandIns {

/// Behaviour of an upstream. It is set at start, and by POST /admin/faults from a JSON object with the names of these
/// fields.
struct UpstreamBehaviour {
    std::int64_t slots = 3;
    std::int64_t serviceMs = 20;
    bool draining = false;
    /// Sheds every request without running it.
    bool shedAll = false;
    /// Runs requests but never responds.
    bool silent = false;
    /// Number of busy slots to report. If negative, the actual number is reported.
    std::int64_t reportedBusy = -1;
    /// The process exits when it starts a request whose body contains this text. Not used if empty.
    std::string crashOn;
};

/// Stand-in for an upstream. Counts the runs of each request by idempotency key, or by request id if it has no key.
class UpstreamEndpoint : public HttpServer::HttpHandler {
public:
    UpstreamEndpoint(Ports::Scheduler& scheduler, UpstreamBehaviour behaviour);

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    auto malformedResponse(boost::beast::http::status status, const std::string& detail)
        -> HttpServer::HttpResponse override;

private:
    struct QueuedRequest {
        HttpServer::HttpRequest request;
        Respond respond;
    };

    auto admit(HttpServer::HttpRequest request, const Respond& respond) -> void;
    auto start(HttpServer::HttpRequest request, Respond respond) -> void;
    auto finish(const HttpServer::HttpRequest& request, const Respond& respond) -> void;
    auto cancel(const std::string& id) -> HttpServer::HttpResponse;
    auto loadResponse() -> HttpServer::HttpResponse;
    auto runCountsResponse() -> HttpServer::HttpResponse;
    auto setBehaviour(const HttpServer::HttpRequest& request) -> HttpServer::HttpResponse;

    Ports::Scheduler& m_scheduler;
    std::mutex m_mutex;
    UpstreamBehaviour m_behaviour;
    std::int64_t m_busySlots = 0;
    std::int64_t m_peakBusySlots = 0;
    std::deque<QueuedRequest> m_queue;
    std::map<std::string, std::uint64_t> m_runCounts;
};

} // namespace StandIns
