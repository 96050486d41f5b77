#pragma once

#include "httpclient/httpclient.h"
#include "runtime/asioruntime.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace BenchLatency {

struct Sample {
    std::vector<double> latenciesMs;
    std::uint64_t failures = 0;
    double seconds = 0;
};

/// Sends requests to one address and measures the time to each answer.
class Exchanger {
public:
    Exchanger(Core::Address address, std::string target);
    ~Exchanger();

    /// Keeps the given number of requests in flight until so many were answered.
    auto closedLoop(std::size_t concurrency, std::size_t requests) -> Sample;
    /// Sends at a fixed rate, whatever the answers do.
    auto openLoop(double requestsPerSecond, std::size_t requests) -> Sample;

private:
    auto send(bool sendsNext) -> void;
    auto finish(double milliseconds, bool isAnswered, bool sendsNext) -> void;
    auto waitForAll(std::size_t requests, std::chrono::steady_clock::time_point started) -> Sample;
    auto reset(std::size_t requests) -> void;

    const Core::Address m_address;
    const std::string m_target;
    Runtime::AsioRuntime m_runtime;
    HttpClient::Client m_client;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Sample m_sample;
    std::size_t m_toSend = 0;
    std::size_t m_ended = 0;
    std::uint64_t m_nextId = 0;
    std::thread m_thread;
};

} // namespace BenchLatency
