#pragma once

#include "outcomebook.h"
#include "preset.h"

#include <functional>
#include <memory>

namespace PolicyBench {

/// One of the situations that policies are compared in.
struct Scenario {
    std::string name;
    /// Factor on the steady load.
    double load = 1;
    /// Index of the service that floods, if any.
    std::optional<std::size_t> floodService;
    /// Offered work of the flood as a multiple of the capacity that the service can use.
    double floodFactor = 0;
    /// All of the flood comes from one caller.
    bool isOneCaller = false;
    bool drainsThird = false;
    bool stopsReports = false;
    bool liesInReports = false;
    bool sendsCrashRequest = false;
};

auto allScenarios() -> std::vector<Scenario>;

/// Result of one policy in one scenario.
struct RunResult {
    std::string preset;
    std::string scenario;
    std::string policy;
    std::uint64_t seed = 0;
    OutcomeBook book;
    /// Useful slot time in the measured window as a share of all slots.
    double usefulShare = 0;
    /// Largest excess of requests in flight at one upstream over its slots.
    std::int64_t highestOverSlots = 0;
    std::uint32_t crashedUpstreams = 0;
    /// Requests that reached leaving upstreams later than two seconds after they began to leave.
    std::uint64_t lateArrivalsAtLeaving = 0;
};

/// Runs a policy ("ranked", "random-fifo" or "least-outstanding") through a scenario.
auto runScenario(const Preset& preset, const Scenario& scenario, const std::string& policy, std::uint64_t seed)
    -> RunResult;

auto policyNames() -> std::vector<std::string>;

} // namespace PolicyBench
