#include "loadgenerator.h"

namespace BenchLatency {

namespace http = boost::beast::http;
using SteadyClock = std::chrono::steady_clock;

namespace {

    constexpr std::size_t threadCount = 2;
    constexpr int httpVersion = 11;
    constexpr Core::Millis requestTimeout { 5000 };

} // namespace

LoadGenerator::LoadGenerator(Core::Address address, std::string target)
    : m_address(std::move(address))
    , m_target(std::move(target))
    , m_runtime(threadCount)
    , m_client(m_runtime.context())
    , m_thread([this] { m_runtime.run(); })
{
}

LoadGenerator::~LoadGenerator()
{
    m_runtime.stop();
    m_thread.join();
}

auto LoadGenerator::runClosedLoop(std::size_t concurrency, std::size_t requests) -> LatencySample
{
    reset(requests);
    const auto started = SteadyClock::now();
    for (std::size_t index = 0; index < concurrency; ++index)
        send(true);
    return waitForAll(requests, started);
}

auto LoadGenerator::runOpenLoop(double requestsPerSecond, std::size_t requests) -> LatencySample
{
    reset(requests);
    const auto started = SteadyClock::now();
    const std::chrono::duration<double> gap(1 / requestsPerSecond);
    for (std::size_t index = 0; index < requests; ++index) {
        std::this_thread::sleep_until(
            started + std::chrono::duration_cast<SteadyClock::duration>(gap * static_cast<double>(index)));
        send(false);
    }
    return waitForAll(requests, started);
}

auto LoadGenerator::reset(std::size_t requests) -> void
{
    const std::lock_guard lock(m_mutex);
    m_sample = {};
    m_unsent = requests;
    m_completed = 0;
}

auto LoadGenerator::send(bool sendsNext) -> void
{
    HttpClient::HttpRequest request { http::verb::post, m_target, httpVersion };
    {
        const std::lock_guard lock(m_mutex);
        if (m_unsent == 0)
            return;
        --m_unsent;
        request.set("X-Request-Id", std::to_string(m_nextId++));
    }
    request.set(http::field::host, m_address.value());
    request.set("X-Deadline-Ms", std::to_string(requestTimeout.count()));
    request.body() = "{}";
    request.prepare_payload();
    const auto started = SteadyClock::now();
    m_client.send({ m_address, std::move(request), requestTimeout },
        [this, started, sendsNext](tl::expected<HttpClient::Exchange, HttpClient::Failure> result) {
            const std::chrono::duration<double, std::milli> latency = SteadyClock::now() - started;
            recordResult(latency.count(), result && result->response.result() == http::status::ok, sendsNext);
        });
}

auto LoadGenerator::recordResult(double milliseconds, bool isAnswered, bool sendsNext) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_completed;
        if (isAnswered)
            m_sample.latenciesMs.push_back(milliseconds);
        else
            ++m_sample.failures;
        m_changed.notify_all();
    }
    if (sendsNext)
        send(true);
}

auto LoadGenerator::waitForAll(std::size_t requests, SteadyClock::time_point started) -> LatencySample
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_completed >= requests; });
    m_sample.seconds = std::chrono::duration<double>(SteadyClock::now() - started).count();
    return m_sample;
}

} // namespace BenchLatency
