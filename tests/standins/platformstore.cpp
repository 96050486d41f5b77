#include "standins/platformstore.h"

#include "standins/httphelpers.h"

#include <nlohmann/json.hpp>

namespace StandIns {

namespace http = boost::beast::http;

namespace {

    constexpr std::string_view objectPrefix = "/v1/objects/";
    constexpr std::size_t maximumObjectSize = 1024 * 1024;
    constexpr std::int64_t maximumWatchMs = 60'000;
    constexpr std::int64_t lostResponseDelayMs = 60'000;

    auto objectResponse(std::uint64_t version, const std::string& text) -> HttpServer::HttpResponse
    {
        auto response = textResponse(http::status::ok, text);
        response.set(http::field::etag, std::to_string(version));
        return response;
    }

} // namespace

PlatformStore::PlatformStore(Ports::Scheduler& scheduler)
    : m_scheduler(scheduler)
{
}

auto PlatformStore::handle(HttpServer::HttpRequest request, Respond respond) -> void
{
    if (pathOf(request) == "/admin/faults") {
        respond(setFaults(request));
        return;
    }
    std::int64_t delayMs = 0;
    {
        const std::lock_guard lock(m_mutex);
        ++m_requestCount;
        if (m_faults.outage) {
            respond(textResponse(http::status::service_unavailable, "outage"));
            return;
        }
        delayMs = m_faults.delayMs;
    }
    if (delayMs == 0) {
        processRequest(request, respond);
        return;
    }
    auto timer = std::make_shared<std::unique_ptr<Ports::Timer>>();
    *timer = m_scheduler.after(
        Core::Millis(delayMs), [this, request, respond, timer] { processRequest(request, respond); });
}

auto PlatformStore::malformedResponse(http::status status, const std::string& detail) -> HttpServer::HttpResponse
{
    return textResponse(status, detail);
}

auto PlatformStore::processRequest(const HttpServer::HttpRequest& request, const Respond& respond) -> void
{
    const auto path = pathOf(request);
    if (path == "/admin/calls") {
        const std::lock_guard lock(m_mutex);
        respond(textResponse(http::status::ok, std::to_string(m_requestCount)));
        return;
    }
    if (!path.starts_with(objectPrefix)) {
        respond(textResponse(http::status::not_found, "no such path"));
        return;
    }
    const auto name = path.substr(objectPrefix.size());
    if (request.method() == http::verb::put)
        write(name, request, respond);
    else
        read(name, request.target(), respond);
}

auto PlatformStore::setFaults(const HttpServer::HttpRequest& request) -> HttpServer::HttpResponse
{
    const auto faults = nlohmann::json::parse(request.body(), nullptr, false);
    if (!faults.is_object())
        return textResponse(http::status::bad_request, "not a JSON object");
    const std::lock_guard lock(m_mutex);
    m_faults.delayMs = faults.value("delayMs", m_faults.delayMs);
    m_faults.outage = faults.value("outage", m_faults.outage);
    m_faults.loseWriteAnswers = faults.value("loseWriteAnswers", m_faults.loseWriteAnswers);
    m_faults.stallWatches = faults.value("stallWatches", m_faults.stallWatches);
    return textResponse(http::status::ok, "{}");
}

auto PlatformStore::read(const std::string& name, std::string_view target, const Respond& respond) -> void
{
    const auto after = queryNumber(target, "after", -1);
    const auto timeoutMs = std::min(queryNumber(target, "timeoutMs", 0), maximumWatchMs);
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find(name);
    const std::uint64_t version = found == m_objects.end() ? 0 : found->second.version;
    if (after < 0 && version == 0) {
        respond(textResponse(http::status::not_found, "no such object"));
        return;
    }
    const bool hasNewerVersion = after < 0 || version > static_cast<std::uint64_t>(after);
    if (hasNewerVersion && !(after >= 0 && m_faults.stallWatches)) {
        respond(objectResponse(version, found->second.text));
        return;
    }
    const auto id = m_nextWatch++;
    auto timeout = m_scheduler.after(Core::Millis(timeoutMs), [this, id] { expireWatch(id); });
    m_watches[id] = { name, static_cast<std::uint64_t>(after), respond, std::move(timeout) };
}

auto PlatformStore::write(const std::string& name, const HttpServer::HttpRequest& request, const Respond& respond)
    -> void
{
    if (request.body().size() > maximumObjectSize) {
        respond(textResponse(http::status::payload_too_large, "objects are limited to 1 MiB"));
        return;
    }
    const std::string expectedVersion(request[http::field::if_match]);
    const std::lock_guard lock(m_mutex);
    auto& object = m_objects[name];
    if (expectedVersion != std::to_string(object.version)) {
        respond(textResponse(http::status::precondition_failed, "version is " + std::to_string(object.version)));
        return;
    }
    ++object.version;
    object.text = request.body();
    if (!m_faults.stallWatches)
        notifyWatches(name);
    auto response = objectResponse(object.version, "");
    if (!m_faults.loseWriteAnswers) {
        respond(std::move(response));
        return;
    }
    auto timer = std::make_shared<std::unique_ptr<Ports::Timer>>();
    *timer = m_scheduler.after(Core::Millis(lostResponseDelayMs), [respond, response, timer] { respond(response); });
}

auto PlatformStore::notifyWatches(const std::string& name) -> void
{
    const auto& object = m_objects[name];
    for (auto entry = m_watches.begin(); entry != m_watches.end();) {
        const auto& watch = entry->second;
        if (watch.name != name || watch.after >= object.version) {
            ++entry;
            continue;
        }
        watch.respond(objectResponse(object.version, object.text));
        entry = m_watches.erase(entry);
    }
}

auto PlatformStore::expireWatch(std::uint64_t id) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_watches.find(id);
    if (entry == m_watches.end())
        return;
    entry->second.respond(textResponse(http::status::not_modified, ""));
    m_watches.erase(entry);
}

} // namespace StandIns
