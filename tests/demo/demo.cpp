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

    /// File that exists as long as the object.
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
    say("started 6 entry VMs in 3 failure domains of 2 regions, and 18 upstreams");
    m_fleet.waitUntilConfigured();
    StandIns::CallerLoad load(m_fleet.addresses(), workloads(), loadSeed);
    load.start(loadDuration);
    std::this_thread::sleep_for(stepPause);
    editSection();
    overrideSection();
    std::this_thread::sleep_for(stepPause);
    readBack();
    killEntryVm();
    std::this_thread::sleep_for(stepPause);
    drainUpstream();
    const auto outcome = load.finish();
    report(outcome);
    showTimeline(outcome);
    return m_broken;
}

auto Demo::say(const std::string& line) -> void { std::cout << "\n== " << line << std::endl; }

auto Demo::check(bool holds, const std::string& claim) -> void
{
    std::cout << (holds ? "ok: " : "NOT OK: ") << claim << std::endl;
    if (!holds)
        m_broken.push_back(claim);
}

auto Demo::command(const std::vector<std::string>& arguments) -> std::string
{
    std::cout << "$ dragonflywinch";
    for (const auto& argument : arguments)
        std::cout << ' ' << argument;
    std::cout << std::endl;
    StandIns::ChildProcess process(m_programPaths.dragonflywinch, arguments);
    check(process.wait() == 0, "the command ends with success");
    std::string output;
    for (const auto& line : process.allLines())
        output += line;
    std::cout << output;
    return output;
}

auto Demo::editSection() -> void
{
    say("the team edits its section: stock answers should take 60 ms at most");
    const TemporaryFile file(sectionText(60));
    command({ "section", "edit", "--team", team, "--file", file.path(), "--store", m_fleet.platformAddress().value() });
}

auto Demo::overrideSection() -> void
{
    say("the founder's override lands over it: 40 ms");
    const TemporaryFile file(overrideText());
    command({ "section", "edit", "--overrides", "--file", file.path(), "--store", m_fleet.platformAddress().value() });
}

auto Demo::readBack() -> void
{
    say("reading back what is in force, and who holds it");
    const auto shown = command({ "section", "show", "--team", team, "--store", m_fleet.platformAddress().value() });
    check(shown.find("60") != std::string::npos, "the team's own value is kept under the override");
    check(shown.find("40") != std::string::npos, "the override is shown");
    command({ "status", "--at", m_fleet.addresses().front().value() });
}

auto Demo::killEntryVm() -> void
{
    m_killed = m_fleet.entryVmIds().back();
    say("killing entry VM " + m_killed.value());
    m_fleet.process(m_killed).signal(SIGKILL);
}

auto Demo::drainUpstream() -> void
{
    const auto upstream = m_fleet.upstreamIds().front();
    say("draining upstream " + upstream.value());
    m_fleet.setFaults(m_fleet.addressOf(upstream), { { "draining", true } });
    m_fleet.markLeaving(upstream);
}

auto Demo::report(const StandIns::LoadReport& load) -> void
{
    say("answers by rank");
    std::cout << formatTable(load);
    for (const auto& [service, workload] : load.services) {
        for (const auto& [reason, count] : workload.refusals)
            std::cout << service.value() << " attempts refused: " << reason << ' ' << count << '\n';
        check(workload.answered > 0, service.value() + " was answered");
    }
    const auto broken = checkBookingGuarantees(load, m_fleet.runCounts());
    for (const auto& line : broken)
        check(false, line);
    check(broken.empty(), "no booking ran twice, and no refusal that said not run was untrue");
}

auto Demo::showTimeline(const StandIns::LoadReport& load) -> void
{
    say("the time line of one booking over all processes that still run");
    if (load.bookings.empty())
        return;
    const auto& key = load.bookings.back().back();
    const auto request = key.substr(key.rfind(':') + 1);
    std::vector<std::string> arguments { "timeline", "--request", request.substr(0, request.rfind('-')) };
    for (const auto& address : m_fleet.addresses()) {
        arguments.emplace_back("--at");
        arguments.push_back(address.value());
    }
    const auto shown = command(arguments);
    check(shown.find("request.received") != std::string::npos, "the time line tells of the booking");
}

} // namespace Demo
