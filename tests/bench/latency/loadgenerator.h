#pragma once

#include "httpclient/httpclient.h"
#include "runtime/asioruntime.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace BenchLatency {

struct LatencySample {
    std::vector<double> latenciesMs;
    std::uint64_t failures = 0;
    double seconds = 0;
};

/// Sends requests to one address and measures their latencies.
class LoadGenerator {
public:
    LoadGenerator(Core::Address address, std::string target);
    ~LoadGenerator();

    /// Keeps the given number of requests in flight until all requests have completed.
    auto runClosedLoop(std::size_t concurrency, std::size_t requests) -> LatencySample;
    /// Sends requests at a fixed rate, independent of the responses.
    auto runOpenLoop(double requestsPerSecond, std::size_t requests) -> LatencySample;

private:
    auto send(bool sendsNext) -> void;
    auto recordResult(double milliseconds, bool isAnswered, bool sendsNext) -> void;
    auto waitForAll(std::size_t requests, std::chrono::steady_clock::time_point started) -> LatencySample;
    auto reset(std::size_t requests) -> void;

    const Core::Address m_address;
    const std::string m_target;
    Runtime::AsioRuntime m_runtime;
    HttpClient::Client m_client;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    LatencySample m_sample;
    std::size_t m_unsent = 0;
    std::size_t m_completed = 0;
    std::uint64_t m_nextId = 0;
    std::thread m_thread;
};

} // namespace BenchLatency
