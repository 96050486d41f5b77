#include "report.h"

#include <iomanip>
#include <nlohmann/json.hpp>

namespace PolicyBench {

namespace {

    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    constexpr int indent = 1;

} // namespace

auto printHeading(std::ostream& stream) -> void
{
    stream << std::left << std::setw(17) << "preset" << std::setw(18) << "case" << std::setw(18) << "policy"
           << std::setw(11) << "group" << std::right << std::setw(8) << "offered" << std::setw(8) << "in-time"
           << std::setw(6) << "late" << std::setw(8) << "not-run" << std::setw(8) << "unknown" << std::setw(9)
           << "p50-ms" << std::setw(9) << "p99-ms" << std::setw(8) << "landed" << std::setw(8) << "missing"
           << std::setw(8) << "useful" << std::setw(6) << "over" << std::setw(6) << "crash" << std::setw(6) << "leave"
           << "\n";
}

auto print(std::ostream& stream, const RunResult& result) -> void
{
    for (const auto& [group, outcome] : result.outcomes.groups()) {
        stream << std::left << std::setw(17) << result.preset << std::setw(18) << result.scenario << std::setw(18)
               << result.policy << std::setw(11) << group << std::right << std::setw(8) << outcome.offered
               << std::setw(8) << outcome.answeredInTime << std::setw(6) << outcome.answeredLate << std::setw(8)
               << outcome.refusedNotRun << std::setw(8) << outcome.unknown << std::fixed << std::setprecision(1)
               << std::setw(9) << outcome.percentile(median) << std::setw(9) << outcome.percentile(tail) << std::setw(8)
               << outcome.eventuallyAnswered << std::setw(8) << outcome.neverAnswered << std::setprecision(3)
               << std::setw(8) << result.usefulShare << std::setw(6) << result.highestOverSlots << std::setw(6)
               << result.crashedUpstreams << std::setw(6) << result.lateArrivalsAtLeaving << "\n";
    }
}

auto toJson(const std::vector<RunResult>& results) -> std::string
{
    auto runs = nlohmann::json::array();
    for (const auto& result : results) {
        nlohmann::json groups;
        for (const auto& [group, outcome] : result.outcomes.groups())
            groups[group] = { { "offered", outcome.offered }, { "answeredInTime", outcome.answeredInTime },
                { "answeredLate", outcome.answeredLate }, { "refusedNotRun", outcome.refusedNotRun },
                { "unknown", outcome.unknown }, { "p50Ms", outcome.percentile(median) },
                { "p99Ms", outcome.percentile(tail) }, { "landed", outcome.eventuallyAnswered },
                { "notLanded", outcome.neverAnswered } };
        runs.push_back({ { "preset", result.preset }, { "case", result.scenario }, { "policy", result.policy },
            { "seed", result.seed }, { "usefulShare", result.usefulShare },
            { "highestOverSlots", result.highestOverSlots }, { "crashedUpstreams", result.crashedUpstreams },
            { "lateArrivalsAtLeaving", result.lateArrivalsAtLeaving }, { "groups", groups } });
    }
    return nlohmann::json { { "runs", runs } }.dump(indent);
}

} // namespace PolicyBench
