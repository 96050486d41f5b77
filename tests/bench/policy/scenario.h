#pragma once

#include "outcomerecorder.h"
#include "preset.h"

#include <functional>
#include <memory>

namespace PolicyBench {

/// Load and faults under which the policies are compared.
struct Scenario {
    std::string name;
    /// Multiplier of the steady load.
    double loadFactor = 1;
    /// Index of the service that receives the flood, if any.
    std::optional<std::size_t> floodService;
    /// Offered load of the flood as a multiple of the capacity that the service can use.
    double floodFactor = 0;
    /// All requests of the flood come from one caller.
    bool hasSingleCaller = false;
    bool drainsThird = false;
    bool stopsReports = false;
    bool falsifiesReports = false;
    bool sendsCrashRequest = false;
};

auto allScenarios() -> std::vector<Scenario>;

/// Result of one policy in one scenario.
struct RunResult {
    std::string preset;
    std::string scenario;
    std::string policy;
    std::uint64_t seed = 0;
    OutcomeRecorder outcomes;
    /// Slot time of useful answers as a share of the time of all slots in the measurement window.
    double usefulShare = 0;
    /// Largest number of requests in flight at one upstream beyond its slots.
    std::int64_t highestOverSlots = 0;
    std::uint32_t crashedUpstreams = 0;
    /// Requests that reached a leaving upstream more than two seconds after it began to leave.
    std::uint64_t lateArrivalsAtLeaving = 0;
};

/// Runs a scenario with the policy "ranked", "random-fifo" or "least-outstanding".
auto runScenario(const Preset& preset, const Scenario& scenario, const std::string& policy, std::uint64_t seed)
    -> RunResult;

auto policyNames() -> std::vector<std::string>;

} // namespace PolicyBench
