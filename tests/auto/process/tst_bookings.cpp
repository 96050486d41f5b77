#include "standins/blockingclient.h"
#include "standins/localfleet.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using nlohmann::json;
using StandIns::HttpReply;

constexpr auto pollInterval = std::chrono::milliseconds(100);
constexpr auto pollTimeout = std::chrono::seconds(20);

auto twoFailureDomainsSpec() -> StandIns::FleetSpec
{
    auto spec = StandIns::smallPeachtreeSpec();
    spec.failureDomains.resize(2);
    for (auto& failureDomain : spec.failureDomains)
        failureDomain.entryVmCount = 1;
    spec.services = { { Core::ServiceId("booking"), Core::Rank::Normal, false, 1, 3, 20 } };
    return spec;
}

/// Two entry VMs in two failure domains of one region. Each is the only possible backup of the other.
struct HomeAndBackupFixture {
    HomeAndBackupFixture()
    {
        fleet.waitUntilConfigured();
        key = waitForKeyPrefix() + ":crew-17";
    }

    /// Polls until the home issues a key prefix, which names a backup, and returns the prefix.
    auto waitForKeyPrefix() -> std::string
    {
        const auto end = std::chrono::steady_clock::now() + pollTimeout;
        while (std::chrono::steady_clock::now() < end) {
            const auto refusal = book(home, {});
            const auto prefix = refusal ? json::parse(refusal->body).value("keyPrefix", std::string()) : std::string();
            if (!prefix.empty())
                return prefix;
            std::this_thread::sleep_for(pollInterval);
        }
        throw std::runtime_error("no key prefix in time");
    }

    auto book(const Core::EntryVmId& vm, const std::string& idempotencyKey) -> std::optional<HttpReply>
    {
        std::map<std::string, std::string> headers { { "X-Deadline-Ms", "1500" } };
        if (!idempotencyKey.empty())
            headers["Idempotency-Key"] = idempotencyKey;
        return StandIns::exchange({ fleet.addressOf(vm), "POST", "/v1/services/booking/hold", headers, "{}" });
    }

    /// Retries the booking through the backup until its outcome is known or the timeout expires. Returns the outcome.
    auto waitForRetryOutcome() -> std::string
    {
        const auto end = std::chrono::steady_clock::now() + pollTimeout;
        std::string outcome = "unknown";
        while (outcome == "unknown" && std::chrono::steady_clock::now() < end) {
            const auto reply = book(backup, key);
            if (reply)
                outcome = reply->status == 200 ? "answered" : reply->headers.at("X-Outcome");
            std::this_thread::sleep_for(pollInterval);
        }
        return outcome;
    }

    auto runCount() -> std::uint64_t
    {
        const auto all = fleet.runCounts();
        const auto found = all.find(key);
        return found == all.end() ? 0 : found->second;
    }

    StandIns::LocalFleet fleet { { DRAGONFLYWINCH_BINARY, STANDINS_BINARY }, twoFailureDomainsSpec() };
    const Core::EntryVmId home { "atl-1-vm-1" };
    const Core::EntryVmId backup { "atl-2-vm-1" };
    std::string key;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ABookingAcrossProcesses, HomeAndBackupFixture)

BOOST_AUTO_TEST_CASE(RunsOnceAndIsReplayedThroughBoth)
{
    const auto first = book(backup, key);
    const auto second = book(home, key);
    BOOST_REQUIRE((first && second));
    BOOST_TEST(first->status == 200);
    BOOST_TEST(second->body == first->body);
    BOOST_TEST(runCount() == 1U);
}

BOOST_AUTO_TEST_SUITE(WhoseHomeIsKilled)

BOOST_AUTO_TEST_CASE(AfterItsAnswerIsAnsweredByTheBackup)
{
    BOOST_REQUIRE(book(home, key)->status == 200);
    fleet.process(home).signal(SIGKILL);
    BOOST_TEST(waitForRetryOutcome() == "answered");
    BOOST_TEST(runCount() == 1U);
}

BOOST_AUTO_TEST_CASE(BeforeItWasSentIsNotRun)
{
    fleet.process(home).signal(SIGKILL);
    BOOST_TEST(waitForRetryOutcome() == "not-run");
    BOOST_TEST(runCount() == 0U);
}

BOOST_AUTO_TEST_CASE(AndStartedAgainUnderTheSameAddressDoesNotRunAgain)
{
    BOOST_REQUIRE(book(home, key)->status == 200);
    fleet.process(home).signal(SIGKILL);
    (void)fleet.process(home).wait();
    fleet.restart(home);
    BOOST_TEST(waitForRetryOutcome() == "answered");
    BOOST_TEST(runCount() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseHomeIsStopped)

BOOST_AUTO_TEST_CASE(IsNotRunWhileTheHomeIsPausedAndAfterItResumes)
{
    fleet.process(home).signal(SIGSTOP);
    BOOST_TEST(waitForRetryOutcome() == "not-run");
    fleet.process(home).signal(SIGCONT);
    const auto late = book(home, key);
    BOOST_REQUIRE(late);
    BOOST_TEST(late->status != 200);
    BOOST_TEST(runCount() == 0U);
}

BOOST_AUTO_TEST_CASE(AsPlannedIsAnsweredByTheBackup)
{
    BOOST_REQUIRE(book(home, key)->status == 200);
    fleet.process(home).signal(SIGTERM);
    BOOST_TEST(fleet.process(home).wait() == 0);
    BOOST_TEST(waitForRetryOutcome() == "answered");
    BOOST_TEST(runCount() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
