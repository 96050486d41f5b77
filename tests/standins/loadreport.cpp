#include "standins/callerload.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace StandIns {

namespace {

    using RunCounts = std::map<std::string, std::uint64_t>;

    auto runCountOf(const RunCounts& runCounts, const std::string& key) -> std::uint64_t
    {
        const auto found = runCounts.find(key);
        return found == runCounts.end() ? 0 : found->second;
    }

    auto quantile(std::vector<double> values, double fraction) -> double
    {
        if (values.empty())
            return 0;
        const auto index
            = std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
        return values[index];
    }

} // namespace

auto checkBookingGuarantees(const LoadReport& report, const RunCounts& runCounts) -> std::vector<std::string>
{
    std::vector<std::string> violations;
    for (const auto& keys : report.bookings) {
        std::uint64_t runs = 0;
        for (const auto& key : keys)
            runs += runCountOf(runCounts, key);
        if (runs > 1)
            violations.push_back("a booking ran " + std::to_string(runs) + " times: " + keys.front());
    }
    for (const auto& key : report.notRunKeys) {
        if (runCountOf(runCounts, key) > 0)
            violations.push_back("a booking refused as not run has run: " + key);
    }
    for (const auto& key : report.answeredKeys) {
        if (runCountOf(runCounts, key) != 1)
            violations.push_back(
                "an answered booking ran " + std::to_string(runCountOf(runCounts, key)) + " times: " + key);
    }
    if (report.mismatchedResponses > 0)
        violations.push_back(std::to_string(report.mismatchedResponses) + " answers belonged to another request");
    return violations;
}

auto formatTable(const LoadReport& report) -> std::string
{
    constexpr int nameWidth = 12;
    constexpr int numberWidth = 10;
    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    std::ostringstream table;
    table << std::left << std::setw(nameWidth) << "rank" << std::setw(nameWidth) << "service" << std::right;
    for (const auto* heading : { "offered", "answered", "not run", "unknown", "p50 ms", "p99 ms" })
        table << std::setw(numberWidth) << heading;
    table << '\n' << std::fixed << std::setprecision(1);
    for (const auto rank : Core::allRanks) {
        for (const auto& [service, workload] : report.services) {
            if (workload.rank != rank)
                continue;
            table << std::left << std::setw(nameWidth) << toString(rank) << std::setw(nameWidth) << service.value()
                  << std::right << std::setw(numberWidth) << workload.offered << std::setw(numberWidth)
                  << workload.answered << std::setw(numberWidth) << workload.notRun << std::setw(numberWidth)
                  << workload.unknown << std::setw(numberWidth) << quantile(workload.latenciesMs, median)
                  << std::setw(numberWidth) << quantile(workload.latenciesMs, tail) << '\n';
        }
    }
    return table.str();
}

} // namespace StandIns
