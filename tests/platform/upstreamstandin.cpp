#include "platform/upstreamstandin.h"

#include "standins/httphelpers.h"

namespace PlatformTest {

namespace {

    namespace http = boost::beast::http;

    constexpr int slots = 4;

} // namespace

UpstreamStandIn::UpstreamStandIn(Ports::Scheduler& scheduler, std::string id, Core::Millis serviceTime)
    : m_scheduler(scheduler)
    , m_id(std::move(id))
    , m_serviceTime(serviceTime)
{
}

auto UpstreamStandIn::setRefusing(bool isRefusing) -> void
{
    const std::lock_guard lock(m_mutex);
    m_isRefusing = isRefusing;
}

auto UpstreamStandIn::setLeaving(bool isLeaving) -> void
{
    const std::lock_guard lock(m_mutex);
    m_isLeaving = isLeaving;
}

auto UpstreamStandIn::setRetryAfter(const std::string& seconds) -> void
{
    const std::lock_guard lock(m_mutex);
    m_retryAfter = seconds;
}

auto UpstreamStandIn::setStatus(unsigned status) -> void
{
    const std::lock_guard lock(m_mutex);
    m_status = status;
}

auto UpstreamStandIn::setSlowRuns(Core::Millis time) -> void
{
    const std::lock_guard lock(m_mutex);
    m_slowTime = time;
}

auto UpstreamStandIn::refusals() -> int
{
    const std::lock_guard lock(m_mutex);
    return m_refusals;
}

auto UpstreamStandIn::runs() -> std::map<std::string, int>
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

auto UpstreamStandIn::handle(HttpServer::HttpRequest request, Respond respond) -> void
{
    auto response = StandIns::textResponse(http::status::ok, "done by " + m_id);
    response.set("Instance-Id", m_id);
    if (StandIns::pathOf(request) == "/health") {
        respond(std::move(response));
        return;
    }
    const std::string id(request["Attempt-Id"]);
    response.set("Attempt-Id", id);
    response.set("Server-Seal", "seal-" + m_id);
    if (const std::string expected(request["Expect-Instance"]); expected != m_id) {
        response.result(http::status::misdirected_request);
        respond(std::move(response));
        return;
    }
    const std::lock_guard lock(m_mutex);
    if (m_isLeaving)
        response.set("Server-Leaving", "1");
    if (m_isRefusing) {
        ++m_refusals;
        response.result(http::status::service_unavailable);
        response.set("Not-Executed", "1");
        if (!m_retryAfter.empty())
            response.set(http::field::retry_after, m_retryAfter);
        respond(std::move(response));
        return;
    }
    ++m_runs[id];
    response.result(m_status);
    ++m_running;
    response.set("Server-Load", std::to_string(m_running) + ",0," + std::to_string(slots));
    auto timer = std::make_shared<std::unique_ptr<Ports::Timer>>();
    constexpr int slowRunInterval = 3;
    const bool isSlow = ++m_started % slowRunInterval == 0 && m_slowTime.count() > 0;
    *timer
        = m_scheduler.after(isSlow ? m_slowTime : m_serviceTime, [this, respond = std::move(respond), response, timer] {
              {
                  const std::lock_guard runLock(m_mutex);
                  --m_running;
              }
              respond(response);
          });
}

auto UpstreamStandIn::malformedResponse(http::status status, const std::string& detail) -> HttpServer::HttpResponse
{
    return StandIns::textResponse(status, detail);
}

} // namespace PlatformTest
