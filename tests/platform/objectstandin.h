#pragma once

#include "httpserver/httpserver.h"
#include "ports/scheduler.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace PlatformTest {

/// Stand-in for the platform's object API. Supports kinds, paginated lists, watches on a history that can be dropped,
/// and conditional writes.
class ObjectStandIn : public HttpServer::HttpHandler {
public:
    explicit ObjectStandIn(Ports::Scheduler& scheduler);

    /// Writes an object, as the operator or an upstream does.
    auto put(const std::string& kind, const std::string& name, nlohmann::json spec, nlohmann::json status = nullptr)
        -> void;
    /// Writes an object whose spec is the given text, byte for byte, as a faulty program does.
    auto putText(const std::string& kind, const std::string& name, const std::string& specText) -> void;
    auto remove(const std::string& kind, const std::string& name) -> void;
    /// Discards all past changes; pending watches and later watches from an earlier revision are answered 410.
    auto dropHistory() -> void;
    /// While set, answers every call with 503. Each change of the flag also ends all pending watches with 503.
    auto setUnavailable(bool isUnavailable) -> void;
    auto setPageSize(std::size_t size) -> void;
    [[nodiscard]] auto names(const std::string& kind) -> std::vector<std::string>;

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    auto malformedResponse(boost::beast::http::status status, const std::string& detail)
        -> HttpServer::HttpResponse override;

private:
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool isDeleted = false;
    };
    struct Watch {
        std::string kind;
        std::uint64_t after = 0;
        Respond respond;
        std::unique_ptr<Ports::Timer> timer;
    };

    auto write(const std::string& kind, const std::string& name, nlohmann::json spec, nlohmann::json status)
        -> nlohmann::json;
    auto list(const std::string& kind, const std::string& after) -> nlohmann::json;
    auto watch(const std::string& kind, std::uint64_t after, std::int64_t waitMs, Respond respond) -> void;
    auto eventsAfter(const std::string& kind, std::uint64_t after) -> nlohmann::json;
    auto notifyWatches() -> void;
    auto respondWith(const Respond& respond, const nlohmann::json& body) -> void;
    auto expireWatch(std::uint64_t id) -> void;

    Ports::Scheduler& m_scheduler;
    std::mutex m_mutex;
    std::uint64_t m_revision = 1;
    std::uint64_t m_oldestRevision = 0;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<Change> m_changes;
    /// Texts of putText() by the placeholder that stands for them in an object.
    std::map<std::string, std::string> m_texts;
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_nextWatch = 0;
    std::size_t m_pageSize = 500;
    bool m_isUnavailable = false;
};

} // namespace PlatformTest
