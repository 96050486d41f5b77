#include "demo.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

namespace Demo {

using nlohmann::json;

namespace {

    constexpr std::uint64_t loadSeed = 20261204;
    constexpr Core::Millis loadDuration { 12'000 };
    constexpr auto stepPause = std::chrono::milliseconds(1500);
    constexpr auto team = "rental-desk";

    auto workloads() -> std::vector<StandIns::Workload>
    {
        using Core::Millis;
        using Core::Rank;
        return { { Core::ServiceId("stock"), Rank::Urgent, 80, Millis(2000), false },
            { Core::ServiceId("booking"), Rank::Normal, 25, Millis(6000), true },
            { Core::ServiceId("audit"), Rank::Deferrable, 15, Millis(6000), false } };
    }

    auto sectionText(int targetMs) -> std::string
    {
        return json {
            { "services",
                { { "stock", { { "rank", "urgent" }, { "targetMs", targetMs } } },
                    { "booking", { { "rank", "normal" }, { "idempotent", false } } },
                    { "audit", { { "rank", "deferrable" } } } } }
        }.dump(2);
    }

    auto overrideText() -> std::string
    {
        return json { { "services", { { "stock", { { "targetMs", 40 } } } } } }.dump(2);
    }

    /// Creates a file and removes it in the destructor.
    class TemporaryFile {
    public:
        explicit TemporaryFile(const std::string& text)
            : m_path(std::filesystem::temp_directory_path() / ("dragonflywinch-demo-" + std::to_string(::getpid())))
        {
            std::ofstream(m_path) << text;
        }
        ~TemporaryFile() { std::filesystem::remove(m_path); }
        TemporaryFile(const TemporaryFile&) = delete;
        auto operator=(const TemporaryFile&) -> TemporaryFile& = delete;

        [[nodiscard]] auto path() const -> std::string { return m_path; }

    private:
        std::filesystem::path m_path;
    };

} // namespace

Demo::Demo(StandIns::ProgramPaths programPaths)
    : m_programPaths(programPaths)
    , m_fleet(std::move(programPaths), StandIns::smallPeachtreeSpec())
{
}

auto Demo::run() -> std::vector<std::string>
{
    printStep("started 6 entry VMs in 3 failure domains of 2 regions, and 18 upstreams");
    m_fleet.waitUntilConfigured();
    StandIns::CallerLoad load(m_fleet.addresses(), workloads(), loadSeed);
    load.start(loadDuration);
    std::this_thread::sleep_for(stepPause);
    editSection();
    overrideSection();
    std::this_thread::sleep_for(stepPause);
    showConfiguration();
    killEntryVm();
    std::this_thread::sleep_for(stepPause);
    drainUpstream();
    const auto outcome = load.finish();
    report(outcome);
    showTimeline(outcome);
    return m_failedChecks;
}

auto Demo::printStep(const std::string& line) -> void { std::cout << "\n== " << line << std::endl; }

auto Demo::check(bool passed, const std::string& description) -> void
{
    std::cout << (passed ? "ok: " : "NOT OK: ") << description << std::endl;
    if (!passed)
        m_failedChecks.push_back(description);
}

auto Demo::runCommand(const std::vector<std::string>& arguments) -> std::string
{
    std::cout << "$ dragonflywinch";
    for (const auto& argument : arguments)
        std::cout << ' ' << argument;
    std::cout << std::endl;
    StandIns::ChildProcess process(m_programPaths.dragonflywinch, arguments);
    check(process.wait() == 0, "the command succeeds");
    std::string output;
    for (const auto& line : process.allLines())
        output += line;
    std::cout << output;
    return output;
}

auto Demo::editSection() -> void
{
    printStep("the team edits its section: stock answers should take 60 ms at most");
    const TemporaryFile file(sectionText(60));
    runCommand(
        { "section", "edit", "--team", team, "--file", file.path(), "--store", m_fleet.platformAddress().value() });
}

auto Demo::overrideSection() -> void
{
    printStep("the founder's override takes precedence: 40 ms");
    const TemporaryFile file(overrideText());
    runCommand(
        { "section", "edit", "--overrides", "--file", file.path(), "--store", m_fleet.platformAddress().value() });
}

auto Demo::showConfiguration() -> void
{
    printStep("reading back the configuration in force and the entry VMs that have it");
    const auto shown = runCommand({ "section", "show", "--team", team, "--store", m_fleet.platformAddress().value() });
    check(shown.find("60") != std::string::npos, "the team's own value is kept under the override");
    check(shown.find("40") != std::string::npos, "the override is shown");
    runCommand({ "status", "--at", m_fleet.addresses().front().value() });
}

auto Demo::killEntryVm() -> void
{
    m_killedVm = m_fleet.entryVmIds().back();
    printStep("killing entry VM " + m_killedVm.value());
    m_fleet.process(m_killedVm).signal(SIGKILL);
}

auto Demo::drainUpstream() -> void
{
    const auto upstream = m_fleet.upstreamIds().front();
    printStep("draining upstream " + upstream.value());
    m_fleet.setFaults(m_fleet.addressOf(upstream), { { "draining", true } });
    m_fleet.markLeaving(upstream);
}

auto Demo::report(const StandIns::LoadReport& load) -> void
{
    printStep("answers by rank");
    std::cout << formatTable(load);
    for (const auto& [service, workload] : load.services) {
        for (const auto& [reason, count] : workload.refusals)
            std::cout << service.value() << " attempts refused: " << reason << ' ' << count << '\n';
        check(workload.answered > 0, service.value() + " was answered");
    }
    const auto violations = checkBookingGuarantees(load, m_fleet.runCounts());
    for (const auto& line : violations)
        check(false, line);
    check(violations.empty(), "no booking ran twice, and no booking refused as not run had run");
}

auto Demo::showTimeline(const StandIns::LoadReport& load) -> void
{
    printStep("the timeline of one booking over all processes that still run");
    if (load.bookings.empty())
        return;
    const auto& key = load.bookings.back().back();
    const auto request = key.substr(key.rfind(':') + 1);
    std::vector<std::string> arguments { "timeline", "--request", request.substr(0, request.rfind('-')) };
    for (const auto& address : m_fleet.addresses()) {
        arguments.emplace_back("--at");
        arguments.push_back(address.value());
    }
    const auto shown = runCommand(arguments);
    check(shown.find("request.received") != std::string::npos, "the timeline shows the booking");
}

} // namespace Demo
