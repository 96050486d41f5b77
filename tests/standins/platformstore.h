#pragma once

#include "core/ids.h"
#include "httpserver/httpserver.h"
#include "ports/scheduler.h"

#include <map>
#include <mutex>

namespace StandIns {

/// Faults that the store injects. POST /admin/faults sets them from a JSON object with the names of these fields.
struct StoreFaults {
    std::int64_t delayMs = 0;
    bool outage = false;
    /// Writes take effect, but their responses are lost.
    bool loseWriteAnswers = false;
    /// Watches are not notified of changes.
    bool stallWatches = false;
};

/// Stand-in for the platform's object API. Holds versioned objects in memory, with conditional updates and watches.
class PlatformStore : public HttpServer::HttpHandler {
public:
    explicit PlatformStore(Ports::Scheduler& scheduler);

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    auto malformedResponse(boost::beast::http::status status, const std::string& detail)
        -> HttpServer::HttpResponse override;

private:
    struct Object {
        std::uint64_t version = 0;
        std::string text;
    };
    struct Watch {
        std::string name;
        std::uint64_t after = 0;
        Respond respond;
        std::unique_ptr<Ports::Timer> timeout;
    };

    auto processRequest(const HttpServer::HttpRequest& request, const Respond& respond) -> void;
    auto setFaults(const HttpServer::HttpRequest& request) -> HttpServer::HttpResponse;
    auto read(const std::string& name, std::string_view target, const Respond& respond) -> void;
    auto write(const std::string& name, const HttpServer::HttpRequest& request, const Respond& respond) -> void;
    auto notifyWatches(const std::string& name) -> void;
    auto expireWatch(std::uint64_t id) -> void;

    Ports::Scheduler& m_scheduler;
    std::mutex m_mutex;
    std::map<std::string, Object> m_objects;
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_nextWatch = 0;
    StoreFaults m_faults;
    std::uint64_t m_requestCount = 0;
};

} // namespace StandIns
