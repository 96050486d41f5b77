#pragma once

#include "core/ids.h"
#include "core/rank.h"
#include "core/units.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace StandIns {

/// Open-loop arrivals for one service.
struct Workload {
    Core::ServiceId service;
    Core::Rank rank = Core::Rank::Normal;
    double requestsPerSecond = 10;
    Core::Millis deadline { 2000 };
    /// Requests carry idempotency keys.
    bool needsKey = false;
};

/// How the requests of one service ended for their callers.
struct WorkloadReport {
    Core::Rank rank = Core::Rank::Normal;
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::vector<double> latenciesMs;
    /// Refusals by reason, over all attempts.
    std::map<std::string, std::uint64_t> refusals;
};

struct LoadReport {
    std::map<Core::ServiceId, WorkloadReport> services;
    std::set<std::string> answeredKeys;
    /// Keys that a refusal called not run.
    std::set<std::string> notRunKeys;
    /// Keys that each booking used, one list a booking.
    std::vector<std::vector<std::string>> bookings;
    /// Answers that carried another request's id or body.
    std::uint64_t crossedAnswers = 0;
    /// Requests whose connection ended after they were written and before their answer.
    std::uint64_t cutRequests = 0;
};

/// Callers that ask for look-ups, cache them, send requests and retry as docs/INTERFACES.md allows.
class CallerLoad {
public:
    /// The addresses are where look-ups are first asked.
    CallerLoad(std::vector<Core::Address> entryVms, std::vector<Workload> workloads, std::uint64_t seed);
    ~CallerLoad();

    /// Starts arrivals; they end after the given time.
    auto start(Core::Millis duration) -> void;
    /// Waits until the arrivals have ended and every request has its outcome.
    auto finish() -> LoadReport;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/// What a run broke of the promises about bookings, one line each; empty when they hold.
auto brokenPromises(const LoadReport& report, const std::map<std::string, std::uint64_t>& book)
    -> std::vector<std::string>;

/// Table of the answers by rank.
auto formatTable(const LoadReport& report) -> std::string;

} // namespace StandIns
