#include "standins/callerload.h"

#include "httpclient/httpclient.h"
#include "runtime/asioruntime.h"

#include <algorithm>
#include <condition_variable>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace StandIns {

namespace http = boost::beast::http;
using nlohmann::json;

namespace {

    constexpr int httpVersion = 11;
    constexpr int maximumAttempts = 6;
    constexpr Core::Millis retryDelay { 100 };
    constexpr Core::Millis attemptTimeout { 1500 };
    constexpr Core::Millis lookupTimeout { 500 };
    constexpr std::size_t threadCount = 2;

    struct Target {
        Core::Address address;
        std::string keyPrefix;
        double weight = 0;
    };

    struct CachedLookup {
        std::vector<Target> targets;
        Core::Instant expires;
    };

    /// Request of a caller with the state of its attempts.
    struct Request {
        Workload workload;
        std::string id;
        std::string key;
        std::vector<std::string> keys;
        Core::Instant started;
        Core::Instant deadline;
        int attempts = 0;
        std::string lastOutcome = "unknown";
    };

    using RequestPointer = std::shared_ptr<Request>;

    auto parseTargets(const std::string& body) -> std::vector<Target>
    {
        std::vector<Target> targets;
        const auto answer = json::parse(body);
        for (const auto& target : answer.at("targets")) {
            targets.push_back({ Core::Address(target.at("address").get<std::string>()),
                target.value("keyPrefix", std::string()), target.at("weight").get<double>() });
        }
        return targets;
    }

} // namespace

class CallerLoad::Implementation {
public:
    Implementation(std::vector<Core::Address> entryVms, std::vector<Workload> workloads, std::uint64_t seed)
        : m_entryVms(std::move(entryVms))
        , m_workloads(std::move(workloads))
        , m_randomEngine(seed)
        , m_thread([this] { m_runtime.run(); })
    {
    }

    ~Implementation()
    {
        m_runtime.stop();
        m_thread.join();
    }

    auto start(Core::Millis duration) -> void
    {
        m_end = m_clock.now() + duration;
        for (const auto& workload : m_workloads) {
            m_report.services[workload.service].rank = workload.rank;
            scheduleArrival(workload);
        }
    }

    auto finish() -> LoadReport
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(
            lock, [this] { return m_clock.now() >= m_end && m_openRequests == 0 && m_pendingArrivals == 0; });
        return m_report;
    }

private:
    auto scheduleArrival(const Workload& workload) -> void
    {
        const std::lock_guard lock(m_mutex);
        std::exponential_distribution<double> gap(workload.requestsPerSecond);
        const Core::Duration delay(static_cast<std::int64_t>(gap(m_randomEngine) * 1e6));
        ++m_pendingArrivals;
        auto timer = std::make_shared<std::unique_ptr<Ports::Timer>>();
        *timer = m_runtime.after(delay, [this, workload, timer] { handleArrival(workload); });
    }

    auto handleArrival(const Workload& workload) -> void
    {
        if (m_clock.now() < m_end) {
            startRequest(workload);
            scheduleArrival(workload);
        }
        const std::lock_guard lock(m_mutex);
        --m_pendingArrivals;
        m_changed.notify_all();
    }

    auto startRequest(const Workload& workload) -> void
    {
        auto request = std::make_shared<Request>();
        request->workload = workload;
        request->started = m_clock.now();
        request->deadline = request->started + workload.deadline;
        {
            const std::lock_guard lock(m_mutex);
            request->id = workload.service.value() + "-" + std::to_string(m_nextId++);
            ++m_report.services[workload.service].offered;
            ++m_openRequests;
        }
        attempt(request);
    }

    auto attempt(const RequestPointer& request) -> void
    {
        if (++request->attempts > maximumAttempts || m_clock.now() >= request->deadline) {
            finishRequest(request, request->lastOutcome);
            return;
        }
        const auto target = chooseTarget(*request);
        if (!target) {
            requestLookup(request);
            return;
        }
        if (request->workload.sendsIdempotencyKeys && request->key.empty()) {
            if (target->keyPrefix.empty()) {
                request->lastOutcome = "not-run";
                requestLookup(request);
                return;
            }
            assignKey(request, target->keyPrefix);
        }
        send(request, target->address);
    }

    auto assignKey(const RequestPointer& request, const std::string& prefix) -> void
    {
        request->key = prefix + ":" + request->id + "-" + std::to_string(request->keys.size());
        request->keys.push_back(request->key);
    }

    auto chooseTarget(const Request& request) -> std::optional<Target>
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_lookups.find(request.workload.service);
        if (found == m_lookups.end() || found->second.expires <= m_clock.now() || found->second.targets.empty())
            return std::nullopt;
        const auto& targets = found->second.targets;
        std::vector<double> weights;
        for (const auto& target : targets)
            weights.push_back(target.weight);
        std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
        return targets[distribution(m_randomEngine)];
    }

    auto requestLookup(const RequestPointer& request) -> void
    {
        Core::Address address;
        {
            const std::lock_guard lock(m_mutex);
            address = m_entryVms[m_nextEntryVm++ % m_entryVms.size()];
        }
        const auto target = "/v1/lookup?service=" + request->workload.service.value();
        HttpClient::HttpRequest message { http::verb::get, target, httpVersion };
        message.set(http::field::host, address.value());
        m_client.send({ address, std::move(message), lookupTimeout },
            [this, request](tl::expected<HttpClient::Exchange, HttpClient::Failure> result) {
                if (result && result->response.result() == http::status::ok)
                    storeLookup(request->workload.service, result->response.body());
                scheduleAttempt(request);
            });
    }

    auto storeLookup(const Core::ServiceId& service, const std::string& body) -> void
    {
        const auto lifetime = Core::Millis(json::parse(body).at("lifetimeMs").get<std::int64_t>());
        const std::lock_guard lock(m_mutex);
        m_lookups[service] = { parseTargets(body), m_clock.now() + lifetime };
    }

    auto send(const RequestPointer& request, const Core::Address& address) -> void
    {
        const auto remaining = request->deadline - m_clock.now();
        const auto target = "/v1/services/" + request->workload.service.value() + "/hold";
        HttpClient::HttpRequest message { http::verb::post, target, httpVersion };
        message.set(http::field::host, address.value());
        message.set("X-Request-Id", request->id);
        message.set("X-Caller", "desk");
        message.set("X-Deadline-Ms", std::to_string(std::chrono::duration_cast<Core::Millis>(remaining).count()));
        if (!request->key.empty())
            message.set("Idempotency-Key", request->key);
        message.body() = json { { "request", request->id } }.dump();
        message.prepare_payload();
        m_client.send({ address, std::move(message), std::min<Core::Duration>(remaining, attemptTimeout) },
            [this, request](tl::expected<HttpClient::Exchange, HttpClient::Failure> result) {
                if (result)
                    handleResponse(request, result->response);
                else
                    handleFailure(request, result.error().stage);
            });
    }

    auto handleResponse(const RequestPointer& request, const HttpClient::HttpResponse& response) -> void
    {
        if (response.result() == http::status::ok) {
            checkResponse(*request, response);
            finishRequest(request, "answered");
            return;
        }
        const auto problem = json::parse(response.body(), nullptr, false);
        const auto outcome = problem.is_object() ? problem.value("outcome", "unknown") : "unknown";
        {
            const std::lock_guard lock(m_mutex);
            ++m_report.services[request->workload.service]
                  .refusals[problem.is_object() ? problem.value("title", "none") : "none"];
        }
        request->lastOutcome = outcome;
        if (outcome == "not-run" && !request->key.empty()) {
            recordNotRun(request->key);
            request->key.clear();
            if (const auto prefix = problem.value("keyPrefix", std::string()); !prefix.empty())
                assignKey(request, prefix);
        }
        scheduleAttempt(request);
    }

    auto handleFailure(const RequestPointer& request, HttpClient::FailureStage stage) -> void
    {
        request->lastOutcome = "unknown";
        const std::lock_guard lock(m_mutex);
        m_report.interruptedRequests += stage == HttpClient::FailureStage::AfterWrite ? 1 : 0;
        // The entry VM may be down, so the next attempt fetches a new look-up from another one.
        m_lookups.erase(request->workload.service);
        auto timer = std::make_shared<std::unique_ptr<Ports::Timer>>();
        *timer = m_runtime.after(retryDelay, [this, request, timer] { attempt(request); });
    }

    auto scheduleAttempt(const RequestPointer& request) -> void
    {
        auto timer = std::make_shared<std::unique_ptr<Ports::Timer>>();
        const bool hasLookup = chooseTarget(*request).has_value();
        const auto delay = hasLookup && request->lastOutcome == "unknown" ? Core::Millis(0) : retryDelay;
        *timer = m_runtime.after(request->attempts == 1 && hasLookup ? Core::Millis(0) : delay,
            [this, request, timer] { attempt(request); });
    }

    auto checkResponse(const Request& request, const HttpClient::HttpResponse& response) -> void
    {
        const auto expected = request.key.empty() ? request.id : request.key;
        const auto answer = json::parse(response.body(), nullptr, false);
        const bool isOwn = response["X-Request-Id"] == request.id && answer.is_object()
            && answer.value("done", std::string()) == expected;
        const std::lock_guard lock(m_mutex);
        m_report.mismatchedResponses += isOwn ? 0 : 1;
        if (!request.key.empty())
            m_report.answeredKeys.insert(request.key);
    }

    auto recordNotRun(const std::string& key) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_report.notRunKeys.insert(key);
    }

    auto finishRequest(const RequestPointer& request, const std::string& outcome) -> void
    {
        const std::lock_guard lock(m_mutex);
        auto& report = m_report.services[request->workload.service];
        if (outcome == "answered") {
            ++report.answered;
            report.latenciesMs.push_back(Core::asMillis(m_clock.now() - request->started));
        } else if (outcome == "not-run") {
            ++report.notRun;
        } else {
            ++report.unknown;
        }
        if (!request->keys.empty())
            m_report.bookings.push_back(request->keys);
        --m_openRequests;
        m_changed.notify_all();
    }

    const std::vector<Core::Address> m_entryVms;
    const std::vector<Workload> m_workloads;
    Runtime::SystemClock m_clock;
    Runtime::AsioRuntime m_runtime { threadCount };
    HttpClient::Client m_client { m_runtime.context() };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::mt19937_64 m_randomEngine;
    std::map<Core::ServiceId, CachedLookup> m_lookups;
    std::size_t m_nextEntryVm = 0;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_openRequests = 0;
    std::uint64_t m_pendingArrivals = 0;
    Core::Instant m_end;
    LoadReport m_report;
    std::thread m_thread;
};

CallerLoad::CallerLoad(std::vector<Core::Address> entryVms, std::vector<Workload> workloads, std::uint64_t seed)
    : m_implementation(std::make_unique<Implementation>(std::move(entryVms), std::move(workloads), seed))
{
}

CallerLoad::~CallerLoad() = default;

auto CallerLoad::start(Core::Millis duration) -> void { m_implementation->start(duration); }

auto CallerLoad::finish() -> LoadReport { return m_implementation->finish(); }

} // namespace StandIns
