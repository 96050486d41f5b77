#include "standins/blockingclient.h"
#include "standins/localfleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace {

using nlohmann::json;

auto fiveEntryVmsSpec() -> StandIns::FleetSpec
{
    auto spec = StandIns::smallPeachtreeSpec();
    spec.failureDomains.back().entryVmCount = 1;
    for (auto& service : spec.services)
        service.needsBackup = false;
    return spec;
}

/// Runs a command to its end and holds its exit code and standard output.
struct CommandRun {
    explicit CommandRun(std::vector<std::string> arguments)
        : process(DRAGONFLYWINCH_BINARY, std::move(arguments))
    {
        exitCode = process.wait();
    }

    auto prints(const std::string& text) const -> bool
    {
        const auto all = process.allLines();
        return std::any_of(
            all.begin(), all.end(), [&text](const std::string& line) { return line.find(text) != std::string::npos; });
    }

    StandIns::ChildProcess process;
    int exitCode = -1;
};

struct BookingFixture {
    BookingFixture()
    {
        fleet.waitUntilConfigured();
        const auto refusal = StandIns::exchange({ addressOf(0), "POST", "/v1/services/booking/pegs", {}, "{}" });
        BOOST_REQUIRE(refusal);
        key = json::parse(refusal->body).at("keyPrefix").get<std::string>() + ":crew-1";
        BOOST_REQUIRE(book(0) == 200);
    }

    auto addressOf(std::size_t index) const -> Core::Address { return fleet.addressOf(vms[index]); }

    auto book(std::size_t index) -> int
    {
        const auto reply = StandIns::exchange({ addressOf(index), "POST", "/v1/services/booking/pegs",
            { { "X-Request-Id", "booking-1" }, { "Idempotency-Key", key }, { "X-Deadline-Ms", "3000" } }, "{}" });
        BOOST_REQUIRE(reply);
        return reply->status;
    }

    auto runTimelineCommand(std::vector<std::string> flags) const -> CommandRun
    {
        std::vector<std::string> arguments { "timeline" };
        for (std::size_t index = 0; index < vms.size(); ++index) {
            arguments.emplace_back("--at");
            arguments.push_back(addressOf(index).value());
        }
        arguments.insert(arguments.end(), flags.begin(), flags.end());
        return CommandRun(std::move(arguments));
    }

    StandIns::LocalFleet fleet { { DRAGONFLYWINCH_BINARY, STANDINS_BINARY }, fiveEntryVmsSpec() };
    std::vector<Core::EntryVmId> vms = fleet.entryVmIds();
    std::string key;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OneOfFiveEntryVmsIsKilledAfterABooking, BookingFixture)

BOOST_AUTO_TEST_CASE(ThenTheTimelineHasTheEventsOfTheOthersAndNamesTheMissingOne)
{
    BOOST_REQUIRE(vms.size() == 5U);
    const auto lines = fleet.process(vms[0]).lines();
    fleet.process(vms[0]).signal(SIGKILL);
    fleet.process(vms[0]).wait();
    BOOST_TEST(book(1) != 200);
    const auto run = runTimelineCommand({ "--request", "booking-1" });
    BOOST_TEST(run.exitCode == 0);
    BOOST_TEST(run.prints("missing: " + addressOf(0).value()));
    BOOST_TEST(run.prints(vms[1].value() + "  request.received  request=booking-1"));
    BOOST_TEST(run.prints(vms[1].value() + "  request.refused  request=booking-1"));
    BOOST_TEST(!run.prints("process.started"));
}

BOOST_AUTO_TEST_CASE(ThenTheTimelineReadsItsEventsFromItsLog)
{
    (void)fleet.process(vms[0]).waitForLine("booking.answered");
    const std::string file = "tst_timeline_" + vms[0].value() + std::to_string(::getpid()) + ".log";
    {
        std::ofstream stream(file);
        for (const auto& line : fleet.process(vms[0]).lines())
            stream << line;
    }
    fleet.process(vms[0]).signal(SIGKILL);
    fleet.process(vms[0]).wait();
    const auto run = runTimelineCommand({ "--request", "booking-1", "--kind", "booking", "--file", file, "--json" });
    std::remove(file.c_str());
    BOOST_TEST(run.exitCode == 0);
    BOOST_TEST(run.prints("\"booking.started\""));
    BOOST_TEST(run.prints("\"booking.answered\""));
    BOOST_TEST(!run.prints("request.received"));
}

BOOST_AUTO_TEST_CASE(ThenTheTimelineFailsWhenNoEntryVmIsReachable)
{
    const auto address = addressOf(0).value();
    fleet.process(vms[0]).signal(SIGKILL);
    fleet.process(vms[0]).wait();
    const CommandRun run({ "timeline", "--at", address });
    BOOST_TEST(run.exitCode == 1);
    BOOST_TEST(run.prints("missing: " + address));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AnOperatorLooksAtOneEntryVm, BookingFixture)

BOOST_AUTO_TEST_CASE(ThenMetricsCountServedRequests)
{
    const auto reply = StandIns::exchange({ addressOf(0), "GET", "/v1/metrics", {}, "" });
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->status == 200);
    const auto has = [&reply](const std::string& text) { return reply->body.find(text) != std::string::npos; };
    BOOST_TEST(has("dragonflywinch_request_duration_seconds_count{service=\"booking\",rank=\"normal\"} 2"));
    BOOST_TEST(has("dragonflywinch_refusals_total{service=\"booking\",reason=\"key-required\",outcome=\"not-run\"} 1"));
    BOOST_TEST(has("dragonflywinch_upstream_outcomes_total{service=\"booking\",outcome=\"answered\"} 1"));
    BOOST_TEST(has("dragonflywinch_configuration_version 1"));
}

BOOST_AUTO_TEST_CASE(ThenTheLogLevelChangesAtRunTime)
{
    const auto put = [this](const std::string& level) {
        const auto reply = StandIns::exchange({ addressOf(0), "PUT", "/v1/admin/log-level", {}, level });
        BOOST_REQUIRE(reply);
        return reply->status;
    };
    BOOST_TEST(put("loud") == 400);
    BOOST_TEST(put("debug") == 200);
    (void)StandIns::exchange({ addressOf(0), "GET", "/v1/services/stock/x", { { "X-Request-Id", "seen" } }, "" });
    const auto line = json::parse(fleet.process(vms[0]).waitForLine("request.answered"));
    BOOST_TEST(line.at("level") == "debug");
    BOOST_TEST(line.at("request") == "seen");
}

BOOST_AUTO_TEST_CASE(ThenInvalidTimelineQueriesAreRefused)
{
    for (const auto* query : { "limit=0", "limit=9999", "limit=x", "after=now", "sinceUs=-1", "colour=red", "%zz" }) {
        const auto reply = StandIns::exchange({ addressOf(0), "GET", std::string("/v1/timeline?") + query, {}, "" });
        BOOST_REQUIRE(reply);
        BOOST_TEST(reply->status == 400, query);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnOperatorUsesTheCommandLine)

BOOST_AUTO_TEST_CASE(ThenExitCodesDistinguishUsageErrorsFromSuccess)
{
    BOOST_TEST(CommandRun({ "--version" }).exitCode == 0);
    BOOST_TEST(CommandRun({ "--help" }).exitCode == 0);
    BOOST_TEST(CommandRun({}).exitCode == 2);
    BOOST_TEST(CommandRun({ "sserve" }).exitCode == 2);
    for (const auto* command : { "serve", "settings", "timeline" }) {
        const CommandRun help({ command, "--help" });
        BOOST_TEST(help.exitCode == 0);
        BOOST_TEST(help.prints("Exit codes:"));
        BOOST_TEST(help.prints("Example"));
        BOOST_TEST(CommandRun({ command, "--no-such-setting", "1" }).exitCode == 2);
    }
}

BOOST_AUTO_TEST_CASE(ThenSettingsNameTheirSource)
{
    const CommandRun run({ "settings", "--json", "--id", "vm-1", "--failure-domain", "a", "--region", "r", "--listen",
        "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--store", "127.0.0.1:9" });
    BOOST_TEST(run.exitCode == 0);
    BOOST_TEST(run.prints("\"source\": \"flag\""));
    BOOST_TEST(run.prints("\"source\": \"default\""));
}

BOOST_AUTO_TEST_SUITE_END()
