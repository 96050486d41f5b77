#pragma once

#include "httpserver/httpserver.h"
#include "ports/scheduler.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace PlatformTest {

/// Number of calls of each sort that were made, also of those that were refused.
struct CallCounts {
    std::size_t lists = 0;
    std::size_t watches = 0;
    std::size_t reads = 0;
    std::size_t writes = 0;
};

/// Stand-in for the platform's object API. Supports kinds, paginated lists, watches on a history that can be dropped,
/// and conditional writes. It may return to an older copy of itself and states its era in every answer.
class ObjectStandIn : public HttpServer::HttpHandler {
public:
    /// What happens to the watches that wait while the store returns to its copy.
    enum class PendingWatches : std::uint8_t {
        /// They are answered 503, as at the begin of an outage.
        Refused,
        /// They are answered 410.
        Gone,
        /// They are never answered.
        Left,
    };

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
    /// Keeps a copy of objects, revision and history for returnToCopy().
    auto keepCopy() -> void;
    /// Loses what was written since keepCopy() and raises the era. Lost revisions are given out again; a watch from one
    /// that is not yet given out again is answered 410.
    auto returnToCopy(PendingWatches pending = PendingWatches::Refused) -> void;
    auto setPageSize(std::size_t size) -> void;
    [[nodiscard]] auto era() -> std::uint64_t;
    [[nodiscard]] auto revision() -> std::uint64_t;
    [[nodiscard]] auto calls() -> CallCounts;
    [[nodiscard]] auto names(const std::string& kind) -> std::vector<std::string>;

    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override;
    /// Refuses a call with 503 without counting it.
    auto refuse(const Respond& respond) -> void;
    auto malformedResponse(boost::beast::http::status status, const std::string& detail)
        -> HttpServer::HttpResponse override;

private:
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool isDeleted = false;
    };
    struct Contents {
        std::uint64_t revision = 1;
        std::uint64_t oldestRevision = 0;
        std::map<std::string, std::map<std::string, nlohmann::json>> objects;
        std::vector<Change> changes;
    };
    struct Watch {
        std::string kind;
        std::uint64_t after = 0;
        Respond respond;
        std::unique_ptr<Ports::Timer> timer;
    };

    auto write(const std::string& kind, const std::string& name, nlohmann::json spec, nlohmann::json status)
        -> nlohmann::json;
    auto handleWrite(const HttpServer::HttpRequest& request, const std::string& kind, const Respond& respond) -> void;
    auto handleRead(const std::string& kind, const std::string& name, const Respond& respond) -> void;
    auto handleQuery(const std::string& kind, std::string_view target, Respond respond) -> void;
    auto countCall(const HttpServer::HttpRequest& request, const std::string& name) -> void;
    /// Answers with the status, the body and the present era.
    auto answer(const Respond& respond, boost::beast::http::status status,
        const nlohmann::json& body = nlohmann::json::object()) const -> void;
    auto endWatches(boost::beast::http::status status) -> void;
    auto leaveWatches() -> void;
    auto list(const std::string& kind, const std::string& after) -> nlohmann::json;
    auto watch(const std::string& kind, std::uint64_t after, std::int64_t waitMs, Respond respond) -> void;
    auto eventsAfter(const std::string& kind, std::uint64_t after) -> nlohmann::json;
    auto notifyWatches() -> void;
    auto respondWith(const Respond& respond, const nlohmann::json& body) -> void;
    auto expireWatch(std::uint64_t id) -> void;

    Ports::Scheduler& m_scheduler;
    std::mutex m_mutex;
    Contents m_contents;
    Contents m_copy;
    std::uint64_t m_era = 1;
    CallCounts m_calls;
    /// Texts of putText() by the placeholder that stands for them in an object.
    std::map<std::string, std::string> m_texts;
    std::map<std::uint64_t, Watch> m_watches;
    /// Watches that are never answered.
    std::vector<Watch> m_leftWatches;
    std::uint64_t m_nextWatch = 0;
    std::size_t m_pageSize = 500;
    bool m_isUnavailable = false;
};

} // namespace PlatformTest
