#include "standins/upstreamendpoint.h"

#include "standins/httphelpers.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace StandIns {

namespace http = boost::beast::http;
using nlohmann::json;

namespace {

    constexpr std::string_view runPrefix = "/v1/run";
    constexpr auto requestIdHeader = "X-Request-Id";
    constexpr auto keyHeader = "Idempotency-Key";
    /// Number of requests that an upstream queues before it sheds further ones.
    constexpr std::size_t queueLimit = 2;
    constexpr int crashStatus = 70;

    auto shedResponse() -> HttpServer::HttpResponse
    {
        auto response = textResponse(http::status::service_unavailable, "shed");
        response.set("X-Not-Run", "true");
        return response;
    }

    auto runKey(const HttpServer::HttpRequest& request) -> std::string
    {
        const std::string key(request[keyHeader]);
        return key.empty() ? std::string(request[requestIdHeader]) : key;
    }

} // namespace

UpstreamEndpoint::UpstreamEndpoint(Ports::Scheduler& scheduler, UpstreamBehaviour behaviour)
    : m_scheduler(scheduler)
    , m_behaviour(std::move(behaviour))
{
}

auto UpstreamEndpoint::handle(HttpServer::HttpRequest request, Respond respond) -> void
{
    const auto path = pathOf(request);
    if (path == "/admin/faults")
        respond(setBehaviour(request));
    else if (path == "/admin/book")
        respond(runCountsResponse());
    else if (path == "/v1/load")
        respond(loadResponse());
    else if (path == "/v1/health")
        respond(textResponse(http::status::ok, "{}"));
    else if (path.starts_with(runPrefix) && request.method() == http::verb::delete_)
        respond(cancel(path.substr(runPrefix.size() + 1)));
    else if (path.starts_with(runPrefix))
        admit(std::move(request), respond);
    else
        respond(textResponse(http::status::not_found, "no such path"));
}

auto UpstreamEndpoint::malformedResponse(http::status status, const std::string& detail) -> HttpServer::HttpResponse
{
    return textResponse(status, detail);
}

auto UpstreamEndpoint::admit(HttpServer::HttpRequest request, const Respond& respond) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        const bool mustShed = m_behaviour.draining || m_behaviour.shedAll;
        const bool isFull = m_busySlots >= m_behaviour.slots;
        if (mustShed || (isFull && m_queue.size() >= queueLimit)) {
            respond(shedResponse());
            return;
        }
        if (isFull) {
            m_queue.push_back({ std::move(request), respond });
            return;
        }
        ++m_busySlots;
        m_peakBusySlots = std::max(m_peakBusySlots, m_busySlots);
    }
    start(std::move(request), respond);
}

auto UpstreamEndpoint::start(HttpServer::HttpRequest request, Respond respond) -> void
{
    std::int64_t serviceMs = 0;
    {
        const std::lock_guard lock(m_mutex);
        ++m_runCounts[runKey(request)];
        serviceMs = m_behaviour.serviceMs;
        if (!m_behaviour.crashOn.empty() && request.body().find(m_behaviour.crashOn) != std::string::npos)
            std::_Exit(crashStatus);
    }
    auto timer = std::make_shared<std::unique_ptr<Ports::Timer>>();
    *timer = m_scheduler.after(Core::Millis(serviceMs),
        [this, timer, request = std::move(request), respond = std::move(respond)] { finish(request, respond); });
}

auto UpstreamEndpoint::finish(const HttpServer::HttpRequest& request, const Respond& respond) -> void
{
    auto response = textResponse(
        http::status::ok, json { { "done", runKey(request) }, { "bytes", request.body().size() } }.dump());
    response.set(requestIdHeader, request[requestIdHeader]);
    QueuedRequest next;
    {
        const std::lock_guard lock(m_mutex);
        if (m_behaviour.draining)
            response.set("X-Draining", "true");
        if (!m_behaviour.silent)
            respond(std::move(response));
        if (m_queue.empty()) {
            --m_busySlots;
            return;
        }
        next = std::move(m_queue.front());
        m_queue.pop_front();
    }
    start(std::move(next.request), std::move(next.respond));
}

auto UpstreamEndpoint::cancel(const std::string& id) -> HttpServer::HttpResponse
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(m_queue.begin(), m_queue.end(),
        [&id](const QueuedRequest& queued) { return queued.request[requestIdHeader] == id; });
    if (found == m_queue.end())
        return textResponse(http::status::conflict, "not waiting");
    found->respond(shedResponse());
    m_queue.erase(found);
    auto response = textResponse(http::status::ok, "cancelled");
    response.set("X-Not-Run", "true");
    return response;
}

auto UpstreamEndpoint::loadResponse() -> HttpServer::HttpResponse
{
    const std::lock_guard lock(m_mutex);
    const auto busy = m_behaviour.reportedBusy >= 0 ? m_behaviour.reportedBusy : m_busySlots;
    const json report { { "slots", m_behaviour.slots }, { "busy", busy }, { "draining", m_behaviour.draining } };
    return textResponse(http::status::ok, report.dump());
}

auto UpstreamEndpoint::runCountsResponse() -> HttpServer::HttpResponse
{
    const std::lock_guard lock(m_mutex);
    return textResponse(http::status::ok, json { { "runs", m_runCounts }, { "highestBusy", m_peakBusySlots } }.dump());
}

auto UpstreamEndpoint::setBehaviour(const HttpServer::HttpRequest& request) -> HttpServer::HttpResponse
{
    const auto faults = json::parse(request.body(), nullptr, false);
    if (!faults.is_object())
        return textResponse(http::status::bad_request, "not a JSON object");
    const std::lock_guard lock(m_mutex);
    m_behaviour.slots = faults.value("slots", m_behaviour.slots);
    m_behaviour.serviceMs = faults.value("serviceMs", m_behaviour.serviceMs);
    m_behaviour.draining = faults.value("draining", m_behaviour.draining);
    m_behaviour.shedAll = faults.value("shedAll", m_behaviour.shedAll);
    m_behaviour.silent = faults.value("silent", m_behaviour.silent);
    m_behaviour.reportedBusy = faults.value("reportedBusy", m_behaviour.reportedBusy);
    m_behaviour.crashOn = faults.value("crashOn", m_behaviour.crashOn);
    return textResponse(http::status::ok, "{}");
}

} // namespace StandIns
