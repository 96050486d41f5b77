#include "standins/blockingclient.h"
#include "standins/localfleet.h"
#include "standins/rawconnection.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

namespace {

using nlohmann::json;

auto singleEntryVmSpec() -> StandIns::FleetSpec
{
    auto spec = StandIns::smallPeachtreeSpec();
    spec.failureDomains.resize(1);
    spec.failureDomains[0].entryVmCount = 1;
    return spec;
}

struct SingleEntryVmFixture {
    SingleEntryVmFixture()
    {
        fleet.waitUntilConfigured();
        const auto started = json::parse(fleet.process(vm).waitForLine("process.started"));
        port = static_cast<std::uint16_t>(std::stoi(started.at("port").get<std::string>()));
        peerPort = static_cast<std::uint16_t>(std::stoi(started.at("peerPort").get<std::string>()));
    }

    auto sendPost(std::map<std::string, std::string> headers, const std::string& target,
        const std::string& body = {}) const -> json
    {
        const auto reply = StandIns::exchange({ fleet.addressOf(vm), "POST", target, std::move(headers), body });
        BOOST_REQUIRE(reply);
        auto problem = json::parse(reply->body);
        problem["status"] = reply->status;
        return problem;
    }

    /// Checks that a valid request still gets its own complete response.
    auto checkValidRequest() -> void
    {
        const auto reply = StandIns::exchange(
            { fleet.addressOf(vm), "POST", "/v1/services/stock/pegs", { { "X-Request-Id", "good" } }, "{}" });
        BOOST_REQUIRE(reply);
        BOOST_TEST(reply->status == 200);
        BOOST_TEST(json::parse(reply->body).at("done") == "good");
    }

    StandIns::LocalFleet fleet { { DRAGONFLYWINCH_BINARY, STANDINS_BINARY }, singleEntryVmSpec() };
    Core::EntryVmId vm = fleet.entryVmIds().front();
    std::uint16_t port = 0;
    std::uint16_t peerPort = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnEntryVmGetsBadInput, SingleEntryVmFixture)

BOOST_AUTO_TEST_CASE(ThenEachRequestGetsATypedRefusalAsNotRun)
{
    const auto expect = [](const json& problem, int status, const std::string& title) {
        BOOST_TEST(problem.at("status") == status);
        BOOST_TEST(problem.at("title") == title);
        BOOST_TEST(problem.at("outcome") == "not-run");
        BOOST_TEST(!problem.at("remedy").get<std::string>().empty());
    };
    expect(sendPost({}, "/v1/services/tents/x"), 404, "unknown-service");
    expect(sendPost({}, "/v1/services/\xff\xfe/x"), 404, "unknown-service");
    expect(sendPost({ { "X-Deadline-Ms", "0" } }, "/v1/services/stock/x"), 504, "deadline-passed");
    expect(sendPost({ { "X-Deadline-Ms", "-1" } }, "/v1/services/stock/x"), 400, "invalid-request");
    expect(sendPost({ { "X-Request-Id", std::string(129, 'a') } }, "/v1/services/stock/x"), 400, "invalid-request");
    expect(sendPost({}, "/v1/services/booking/x"), 400, "key-required");
    expect(sendPost({ { "Idempotency-Key", "a:b:c" } }, "/v1/services/booking/x"), 400, "key-invalid");
    expect(sendPost({}, "/v1/services/stock/x", std::string(1024 * 1024 + 1, 'b')), 413, "request-too-large");
    checkValidRequest();
}

BOOST_AUTO_TEST_CASE(ThenMalformedBytesDoNotAffectValidRequests)
{
    for (const auto target : { port, peerPort }) {
        for (const auto& bytes : { std::string("\0\xff\x16\x03garbage\r\n\r\n", 15), std::string(70'000, '\xff'),
                 std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n") + std::string(64, '\x7f'),
                 std::string("POST /v1/services/stock/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf") }) {
            StandIns::RawConnection connection(target);
            connection.send(bytes);
            connection.close();
        }
    }
    checkValidRequest();
    fleet.process(vm).signal(SIGTERM);
    BOOST_TEST(fleet.process(vm).wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
