#include "fakes/steering/steeringfleet.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace {

using Fakes::SteeringFleet;
using nlohmann::json;

constexpr std::size_t vmsPerDomain = 2;
constexpr std::uint32_t slotsPerVm = 8;
/// Requests per second that a failure domain can run: the stock requests that its slots can run, plus the bookings,
/// which are a fifth of all requests.
constexpr double capacity = 1000;
const std::vector<std::string> domains { "atl-1", "atl-2", "sav-1", "sav-2", "mac-1", "mac-2" };

struct Variant {
    std::string name;
    Core::Share cap;
    Core::Millis slowStart { 0 };
};

const std::vector<Variant> variants { { "capped", Core::Share(0.1), Core::Millis(5000) },
    { "uncapped", Core::Share(1), Core::Millis(0) } };

auto regionOf(const std::string& domain) -> std::string { return domain.substr(0, 3); }

auto makeFleet(const Variant& variant) -> std::unique_ptr<SteeringFleet>
{
    std::vector<SteeringFleet::DomainSpec> places;
    for (const auto& domain : domains)
        places.push_back({ domain, regionOf(domain), slotsPerVm });
    auto fleet = std::make_unique<SteeringFleet>(1, places, vmsPerDomain);
    fleet->world().setFaults({ 0, 0, Core::Millis(1), Core::Millis(20) });
    fleet->configuration().movementCap = variant.cap;
    fleet->configuration().slowStart = variant.slowStart;
    fleet->publish();
    fleet->useLookupAnswers();
    return fleet;
}

auto totalCounts(const SteeringFleet& fleet) -> SteeringFleet::RequestCounts
{
    SteeringFleet::RequestCounts total;
    for (const auto& domain : domains) {
        const auto requestCounts = fleet.requestCounts(domain);
        total.sent += requestCounts.sent;
        total.answered += requestCounts.answered;
        total.notRun += requestCounts.notRun;
        total.unknown += requestCounts.unknown;
    }
    return total;
}

auto receivedCount(const SteeringFleet& fleet, const std::string& domain) -> std::uint64_t
{
    const auto found = fleet.received().find(domain);
    return found == fleet.received().end() ? 0 : found->second;
}

/// Records, for each second, the outcomes that callers received and the requests that one failure domain received.
class Recorder {
public:
    Recorder(SteeringFleet& fleet, std::string observedDomain)
        : m_fleet(fleet)
        , m_observedDomain(std::move(observedDomain))
    {
    }

    auto run(int seconds) -> void
    {
        for (int second = 0; second < seconds; ++second) {
            const auto before = totalCounts(m_fleet);
            const auto receivedBefore = receivedCount(m_fleet, m_observedDomain);
            m_fleet.run(std::chrono::seconds(1));
            const auto after = totalCounts(m_fleet);
            m_rows.push_back({ { "sent", after.sent - before.sent }, { "answered", after.answered - before.answered },
                { "notRun", after.notRun - before.notRun }, { "unknown", after.unknown - before.unknown },
                { "watchedReceived", receivedCount(m_fleet, m_observedDomain) - receivedBefore } });
        }
    }

    [[nodiscard]] auto rows() const -> const json& { return m_rows; }
    [[nodiscard]] auto sumOf(std::size_t first, std::size_t last, const char* field) const -> std::uint64_t
    {
        std::uint64_t total = 0;
        for (auto index = first; index < last; ++index)
            total += m_rows.at(index).at(field).get<std::uint64_t>();
        return total;
    }

private:
    SteeringFleet& m_fleet;
    std::string m_observedDomain;
    json m_rows = json::array();
};

auto reportResult(const char* scenario, const Variant& variant, const SteeringFleet& fleet, const json& figures,
    const json& rows) -> json
{
    const auto violation = fleet.violations();
    std::printf("%-12s %-9s %s%s\n", scenario, variant.name.c_str(), figures.dump().c_str(), violation.c_str());
    return { { "case", scenario }, { "variant", variant.name }, { "figures", figures }, { "violation", violation },
        { "seconds", rows } };
}

/// At 80 % load, region sav fails after 10 s and returns after 30 s.
auto regionLost(const Variant& variant) -> json
{
    auto fleet = makeFleet(variant);
    for (const auto& domain : domains)
        fleet->setArrivals(domain, 0.8 * capacity);
    Recorder recorder(*fleet, "sav-1");
    recorder.run(10);
    fleet->crash("sav-1");
    fleet->crash("sav-2");
    recorder.run(20);
    fleet->restart("sav-1");
    fleet->restart("sav-2");
    recorder.run(30);
    const json figures { { "answeredBefore", recorder.sumOf(5, 10, "answered") / 5 },
        { "answeredDuring", recorder.sumOf(15, 30, "answered") / 15 },
        { "refusedDuring", recorder.sumOf(15, 30, "notRun") / 15 },
        { "unknownInAll", recorder.sumOf(0, 60, "unknown") },
        { "unknownAfterTwoSeconds", recorder.sumOf(12, 60, "unknown") },
        { "returnedFirstSecond", recorder.sumOf(30, 31, "watchedReceived") },
        { "returnedTenthSecond", recorder.sumOf(40, 41, "watchedReceived") },
        { "answeredAtEnd", recorder.sumOf(55, 60, "answered") / 5 } };
    return reportResult("region-lost", variant, *fleet, figures, recorder.rows());
}

/// At 50 % load, the weight of atl-1 is set to 0 after 10 s.
auto plannedMove(const Variant& variant) -> json
{
    auto fleet = makeFleet(variant);
    for (const auto& domain : domains)
        fleet->setArrivals(domain, 0.5 * capacity);
    Recorder recorder(*fleet, "atl-1");
    recorder.run(10);
    fleet->configuration().weights[Core::FailureDomainId("atl-1")] = 0;
    fleet->publish();
    recorder.run(40);
    std::uint64_t largestStep = 0;
    int secondsUntilEmpty = -1;
    for (std::size_t second = 10; second < 50; ++second) {
        const auto lifetime = recorder.sumOf(second - 2, second, "watchedReceived");
        const auto next = second + 2 <= 50 ? recorder.sumOf(second, second + 2, "watchedReceived") : lifetime;
        largestStep = std::max(largestStep, lifetime > next ? lifetime - next : 0);
        if (secondsUntilEmpty < 0 && recorder.sumOf(second, second + 1, "watchedReceived") == 0)
            secondsUntilEmpty = static_cast<int>(second) - 10;
    }
    const json figures { { "receivedPerLifetimeBefore", recorder.sumOf(8, 10, "watchedReceived") },
        { "largestStepPerLifetime", largestStep }, { "secondsUntilEmpty", secondsUntilEmpty },
        { "refused", recorder.sumOf(0, 50, "notRun") }, { "unknown", recorder.sumOf(0, 50, "unknown") } };
    return reportResult("planned-move", variant, *fleet, figures, recorder.rows());
}

/// Region atl receives twice its capacity, and its link to sav is limited to 2 Mbit/s.
auto linkFull(const Variant& variant) -> json
{
    auto fleet = makeFleet(variant);
    fleet->configuration().linkBudgets = { { Core::RegionId("atl"), Core::RegionId("sav"), Core::Mbit(2) } };
    fleet->publish();
    fleet->setArrivals("atl-1", 2 * capacity);
    fleet->setArrivals("atl-2", 2 * capacity);
    Recorder recorder(*fleet, "sav-1");
    recorder.run(30);
    std::uint64_t highest = 0;
    for (const auto& [second, bytes] : fleet->crossRegionBytes("atl", "sav"))
        highest = std::max(highest, bytes);
    const json figures { { "answered", recorder.sumOf(10, 30, "answered") / 20 },
        { "refused", recorder.sumOf(10, 30, "notRun") / 20 },
        { "highestRelayedMbitPerSecond", static_cast<double>(highest) * 8 / 1e6 }, { "budgetMbitPerSecond", 1.0 } };
    return reportResult("link-full", variant, *fleet, figures, recorder.rows());
}

} // namespace

/// Usage: bench_steering [FILE]. Prints one line for each run to the standard output and writes JSON to FILE.
auto main(int argc, char** argv) -> int
{
    auto results = json::array();
    for (const auto& variant : variants) {
        results.push_back(regionLost(variant));
        results.push_back(plannedMove(variant));
        results.push_back(linkFull(variant));
    }
    if (argc > 1)
        std::ofstream(argv[1]) << results.dump(1) << '\n';
    return 0;
}
