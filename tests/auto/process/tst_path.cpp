#include "standins/blockingclient.h"
#include "standins/childprocess.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>

namespace {

using nlohmann::json;
using StandIns::ChildProcess;

auto standIn(std::vector<std::string> arguments) -> std::unique_ptr<ChildProcess>
{
    return std::make_unique<ChildProcess>(STANDINS_BINARY, std::move(arguments));
}

auto addressOf(const ChildProcess& process) -> Core::Address
{
    const auto line = process.waitForLine("listening ");
    return Core::Address("127.0.0.1:" + std::to_string(std::stoi(line.substr(line.find(' ')))));
}

struct OneFailureDomain {
    OneFailureDomain()
    {
        const json upstreamEntry { { "id", "stock-1" }, { "service", "stock" }, { "failureDomain", "atl-1" },
            { "region", "atl" }, { "address", addressOf(*upstream).value() }, { "slots", 3 }, { "connections", 360 } };
        put("steering/document",
            { { "sections", { { "desk", { { "services", { { "stock", { { "rank", "urgent" } } } } } } } } } });
        put("fleet/list", { { "entryVms", json::array() }, { "upstreams", json::array({ upstreamEntry }) } });
        const auto started = json::parse(entryVm->waitForLine("process.started"));
        entry = Core::Address("127.0.0.1:" + started.at("port").get<std::string>());
        (void)entryVm->waitForLine("configuration.taken");
        (void)entryVm->waitForLine("fleet.taken");
    }

    auto put(const std::string& name, const json& value) -> void
    {
        const auto reply = StandIns::exchange(
            { addressOf(*platform), "PUT", "/v1/objects/" + name, { { "If-Match", "0" } }, value.dump() });
        BOOST_REQUIRE(reply);
        BOOST_REQUIRE(reply->status == 200);
    }

    std::unique_ptr<ChildProcess> platform = standIn({ "platform" });
    std::unique_ptr<ChildProcess> upstream = standIn({ "upstream" });
    std::unique_ptr<ChildProcess> entryVm = std::make_unique<ChildProcess>(DRAGONFLYWINCH_BINARY,
        std::vector<std::string> { "serve", "--id", "atl-1-vm-1", "--failure-domain", "atl-1", "--region", "atl",
            "--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--store", addressOf(*platform).value() });
    Core::Address entry;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OneEntryVmWithOneUpstream, OneFailureDomain)

BOOST_AUTO_TEST_CASE(ServesARequestEndToEnd)
{
    const auto reply = StandIns::exchange(
        { entry, "POST", "/v1/services/stock/pegs", { { "X-Request-Id", "r-1" }, { "X-Deadline-Ms", "5000" } }, "{}" });
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->status == 200);
    BOOST_TEST(reply->headers.at("X-Request-Id") == "r-1");
    BOOST_TEST(json::parse(reply->body).at("done") == "r-1");
}

BOOST_AUTO_TEST_CASE(RefusesAnUnknownServiceAsNotRun)
{
    const auto reply = StandIns::exchange({ entry, "GET", "/v1/services/tents/x", {}, "" });
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->status == 404);
    BOOST_TEST(json::parse(reply->body).at("outcome") == "not-run");
}

BOOST_AUTO_TEST_CASE(EndsGracefullyOnSigterm)
{
    entryVm->signal(SIGTERM);
    BOOST_TEST(entryVm->wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
