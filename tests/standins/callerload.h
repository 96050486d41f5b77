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

/// Open-loop load on one service.
struct Workload {
    Core::ServiceId service;
    Core::Rank rank = Core::Rank::Normal;
    double requestsPerSecond = 10;
    Core::Millis deadline { 2000 };
    bool sendsIdempotencyKeys = false;
};

/// Outcomes of the requests to one service, as their callers see them.
struct WorkloadReport {
    Core::Rank rank = Core::Rank::Normal;
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::vector<double> latenciesMs;
    /// Number of refusals by reason, including those of attempts that were retried.
    std::map<std::string, std::uint64_t> refusals;
};

struct LoadReport {
    std::map<Core::ServiceId, WorkloadReport> services;
    std::set<std::string> answeredKeys;
    /// Keys of requests that were refused as not run.
    std::set<std::string> notRunKeys;
    /// Keys used by the attempts of each booking.
    std::vector<std::vector<std::string>> bookings;
    /// Responses with the id or the body of another request.
    std::uint64_t mismatchedResponses = 0;
    /// Requests whose connection failed after the request was written and before the response arrived.
    std::uint64_t interruptedRequests = 0;
};

/// Simulates callers that fetch and cache look-ups, send requests and retry them as docs/INTERFACES.md allows.
class CallerLoad {
public:
    /// Look-ups are requested from the given addresses in turn.
    CallerLoad(std::vector<Core::Address> entryVms, std::vector<Workload> workloads, std::uint64_t seed);
    ~CallerLoad();

    /// Starts the load, which ends after the given time.
    auto start(Core::Millis duration) -> void;
    /// Waits until the load has ended and every request has an outcome.
    auto finish() -> LoadReport;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/// Checks the guarantees for bookings against the number of runs of each key. Returns a description of each violation.
auto checkBookingGuarantees(const LoadReport& report, const std::map<std::string, std::uint64_t>& runCounts)
    -> std::vector<std::string>;

/// Formats the outcomes and latencies of each service as a table, ordered by rank.
auto formatTable(const LoadReport& report) -> std::string;

} // namespace StandIns
