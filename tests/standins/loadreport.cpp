#include "standins/callerload.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace StandIns {

namespace {

    using Book = std::map<std::string, std::uint64_t>;

    auto runsOf(const Book& book, const std::string& key) -> std::uint64_t
    {
        const auto found = book.find(key);
        return found == book.end() ? 0 : found->second;
    }

    auto quantile(std::vector<double> values, double share) -> double
    {
        if (values.empty())
            return 0;
        const auto index
            = std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
        return values[index];
    }

} // namespace

auto brokenPromises(const LoadReport& report, const Book& book) -> std::vector<std::string>
{
    std::vector<std::string> broken;
    for (const auto& keys : report.bookings) {
        std::uint64_t runs = 0;
        for (const auto& key : keys)
            runs += runsOf(book, key);
        if (runs > 1)
            broken.push_back("a booking ran " + std::to_string(runs) + " times: " + keys.front());
    }
    for (const auto& key : report.notRunKeys) {
        if (runsOf(book, key) > 0)
            broken.push_back("a booking refused as not run has run: " + key);
    }
    for (const auto& key : report.answeredKeys) {
        if (runsOf(book, key) != 1)
            broken.push_back("an answered booking ran " + std::to_string(runsOf(book, key)) + " times: " + key);
    }
    if (report.crossedAnswers > 0)
        broken.push_back(std::to_string(report.crossedAnswers) + " answers belonged to another request");
    return broken;
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
