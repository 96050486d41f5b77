#pragma once

#include "core/ids.h"
#include "httpserver/httpserver.h"
#include "ports/scheduler.h"

#include <map>
#include <mutex>

namespace StandIns {

/// Faults of the platform's store, set through POST /admin/faults with a JSON object of these names.
struct StoreFaults {
    std::int64_t delayMs = 0;
    bool outage = false;
    /// Writes take effect and their answer is lost.
    bool loseWriteAnswers = false;
    /// Watches never learn of a change.
    bool stallWatches = false;
};

/// Stand-in for the platform's object API: versions, conditional updates and watches, in memory.
class PlatformStore : public HttpServer::HttpHandler {
public:
    explicit PlatformStore(Ports::Scheduler& scheduler);

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    auto malformed(boost::beast::http::status status, const std::string& detail) -> HttpServer::HttpResponse override;

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

    auto answer(const HttpServer::HttpRequest& request, const Respond& respond) -> void;
    auto setFaults(const HttpServer::HttpRequest& request) -> HttpServer::HttpResponse;
    auto read(const std::string& name, std::string_view target, const Respond& respond) -> void;
    auto write(const std::string& name, const HttpServer::HttpRequest& request, const Respond& respond) -> void;
    auto wakeWatches(const std::string& name) -> void;
    auto expireWatch(std::uint64_t id) -> void;

    Ports::Scheduler& m_scheduler;
    std::mutex m_mutex;
    std::map<std::string, Object> m_objects;
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_nextWatch = 0;
    StoreFaults m_faults;
    std::uint64_t m_calls = 0;
};

} // namespace StandIns
