#include "platform/oddtexts.h"
#include "platform/sitefixture.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>

namespace {

using PlatformTest::holdsWithin;
using PlatformTest::PlatformSite;
using PlatformTest::SiteFixture;

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryVmsOnThePlatform, SiteFixture)

BOOST_AUTO_TEST_SUITE(WithoutFaults)

BOOST_AUTO_TEST_CASE(ServeRequestsOnceEach)
{
    for (int request = 0; request < 20; ++request) {
        const auto reply = site.send(request % 2, "r-" + std::to_string(request));
        BOOST_REQUIRE(reply);
        BOOST_TEST(reply->status == 200);
        BOOST_TEST(reply->headers.at("Attempt-Id") == "r-" + std::to_string(request));
        BOOST_TEST(reply->headers.at("Server-Seal").starts_with("seal-i-"));
    }
    for (const auto& [id, count] : site.runs())
        BOOST_TEST(count == 1, id);
}

BOOST_AUTO_TEST_CASE(ListEachOtherInLookUpAnswers)
{
    BOOST_TEST(holdsWithin(Core::Millis(3000), [this] {
        const auto reply = site.lookup(0);
        return reply && reply->status == 200 && nlohmann::json::parse(reply->body).at("addrs").size() == 2;
    }));
}

BOOST_AUTO_TEST_CASE(ExposeTheirMetrics)
{
    BOOST_TEST(statusOf(0, "r-1") == 200);
    const auto text = site.metrics(0);
    BOOST_TEST(text.find("dragonflywinch_request_duration_seconds_count") != std::string::npos, text);
    BOOST_TEST(text.find("dragonflywinch_upstream_connections_total") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheConfigurationChanges)

BOOST_AUTO_TEST_CASE(ApplyItWithinTwoAndAHalfSeconds)
{
    BOOST_TEST(statusOf(0, "r-1", "/audit/7") == 404);
    site.configure(8, "/audit/");
    for (int vm = 0; vm < 2; ++vm)
        BOOST_TEST(holdsWithin(Core::Millis(2500), [&] { return statusOf(vm, "r-2", "/audit/7") == 200; }));
    // An older version that arrives later is ignored.
    site.configure(5, "/stock/");
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    BOOST_TEST(statusOf(0, "r-3", "/audit/7") == 200);
}

BOOST_AUTO_TEST_CASE(ApplyItAfterTheStoreDroppedItsHistory)
{
    site.objects().dropHistory();
    site.configure(9, "/audit/");
    BOOST_TEST(holdsWithin(Core::Millis(2500), [&] { return statusOf(0, "r-2", "/audit/7") == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnotherWriterLeavesAnOddEntry)

BOOST_AUTO_TEST_CASE(KeepServingAndFollowing)
{
    constexpr std::uint64_t firstVersion = 10;
    std::uint64_t number = 0;
    for (const auto& [problem, text] : PlatformTest::oddTexts()) {
        for (const auto* collection : { "servers", "entryvms", "evacuations" })
            site.objects().putText(collection, "odd-" + std::to_string(number), text);
        const auto prefix = "/audit-" + std::to_string(number) + '/';
        site.configure(firstVersion + number, prefix);
        for (int vm = 0; vm < 2; ++vm) {
            const auto id = "r-" + std::to_string(number) + '-' + std::to_string(vm);
            BOOST_TEST(holdsWithin(Core::Millis(2500), [&] { return statusOf(vm, id, prefix + "7") == 200; }), problem);
        }
        ++number;
    }
    // A process that starts lists the odd entries at once.
    site.process(0).signal(SIGKILL);
    site.process(0).wait();
    site.startEntryVm(0);
    site.waitUntilReady(0);
    BOOST_TEST(holdsWithin(Core::Millis(3000),
        [&] { return statusOf(0, "r-last", "/audit-" + std::to_string(number - 1) + "/7") == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnUpstreamLeaves)

BOOST_AUTO_TEST_CASE(StopSendingToItWithinTwoAndAHalfSeconds)
{
    site.registerUpstream(0, "draining");
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    const auto before = site.upstream(0).runs().size();
    for (int request = 0; request < 10; ++request)
        BOOST_TEST(statusOf(request % 2, "r-" + std::to_string(request)) == 200);
    BOOST_TEST(site.upstream(0).runs().size() == before);
}

BOOST_AUTO_TEST_CASE(StopSendingToItAtOnceWhenItSaysSoInAnAnswer)
{
    site.upstream(0).setLeaving(true);
    site.upstream(1).setLeaving(true);
    for (int request = 0; request < 30; ++request)
        BOOST_TEST(statusOf(request % 2, "r-" + std::to_string(request)) == 200);
    // One answer tells each of the two entry VMs.
    BOOST_TEST(site.upstream(0).runs().size() <= 2U);
    BOOST_TEST(site.upstream(1).runs().size() <= 2U);
}

BOOST_AUTO_TEST_CASE(ServeFromTheOthersWhenItsAddressNoLongerReachesIt)
{
    // Requests carry the id of the expected upstream, so another upstream at this address does not run them.
    site.objects().put("servers", "i-gone",
        { { "address", "127.0.0.1:9" }, { "born", 1 },
            { "info", { { "service", "pegs" }, { "version", "v1" }, { "zone", "atl-a" }, { "slots", 4 } } } },
        { { "state", "ready" }, { "seq", 1 }, { "cold_left", "0ms" } });
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    for (int request = 0; request < 10; ++request)
        BOOST_TEST(statusOf(request % 2, "r-" + std::to_string(request)) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnUpstreamAsksForAPause)

BOOST_AUTO_TEST_CASE(SendItNothingUntilItsEnd)
{
    BOOST_TEST(statusOf(0, "first") == 200);
    int preferred = 0;
    while (site.upstream(preferred).runs().empty())
        ++preferred;
    auto& paused = site.upstream(preferred);
    paused.setRefusing(true);
    paused.setRetryAfter("2");
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
    for (int request = 0; std::chrono::steady_clock::now() < end; ++request)
        BOOST_TEST(statusOf(request % 2, "r-" + std::to_string(request)) == 200);
    // One refusal tells each of the two entry VMs.
    BOOST_TEST(paused.refusals() >= 1);
    BOOST_TEST(paused.refusals() <= 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheStoreIsUnavailable)

BOOST_AUTO_TEST_CASE(KeepServingAndCatchUpWhenItReturns)
{
    site.objects().setUnavailable(true);
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    BOOST_TEST(statusOf(0, "r-1") == 200);
    BOOST_TEST(statusOf(1, "r-2") == 200);
    site.objects().setUnavailable(false);
    site.configure(9, "/audit/");
    for (int vm = 0; vm < 2; ++vm)
        BOOST_TEST(holdsWithin(Core::Millis(2500), [&] { return statusOf(vm, "r-3", "/audit/7") == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenOneIsKilled)

BOOST_AUTO_TEST_CASE(RemoveItFromLookUpAnswersWithinSeconds)
{
    BOOST_REQUIRE(holdsWithin(Core::Millis(3000), [this] {
        const auto reply = site.lookup(0);
        return reply && nlohmann::json::parse(reply->body).at("addrs").size() == 2;
    }));
    site.process(1).signal(SIGKILL);
    site.process(1).wait();
    BOOST_TEST(holdsWithin(Core::Millis(4000), [this] {
        const auto reply = site.lookup(0);
        return reply && nlohmann::json::parse(reply->body).at("addrs").size() == 1;
    }));
}

BOOST_AUTO_TEST_CASE(RecoverFromTheStoreAfterAllAreKilled)
{
    for (int vm = 0; vm < 2; ++vm) {
        site.process(vm).signal(SIGKILL);
        site.process(vm).wait();
    }
    site.startEntryVm(0);
    site.waitUntilReady(0);
    BOOST_TEST(holdsWithin(Core::Millis(3000), [this] { return statusOf(0, "r-1") == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenOneRestartsAfterAWithdrawal)

/// Kills the second entry VM and then withdraws the route that it knew and an upstream that it used.
struct Withdrawal {
    explicit Withdrawal(PlatformSite& site)
    {
        site.process(1).signal(SIGKILL);
        site.process(1).wait();
        site.configure(9, "/audit/");
        site.objects().remove("servers", "i-0");
    }

    static auto checkNothingWithdrawnIsUsed(SiteFixture& fixture) -> void
    {
        const auto before = fixture.site.upstream(0).runs().size();
        constexpr int requests = 30;
        for (int request = 0; request < requests; ++request)
            BOOST_TEST(fixture.statusOf(1, "after-" + std::to_string(request), "/audit/7") == 200);
        BOOST_TEST(fixture.statusOf(1, "withdrawn") == 404);
        BOOST_TEST(fixture.site.upstream(0).runs().size() == before);
    }
};

BOOST_AUTO_TEST_CASE(UsesNothingThatWasWithdrawn)
{
    const Withdrawal withdrawal(site);
    site.startEntryVm(1);
    site.waitUntilReady(1);
    Withdrawal::checkNothingWithdrawnIsUsed(*this);
}

BOOST_AUTO_TEST_CASE(UsesNothingThatWasWithdrawnWhenItLearnsFromTheOtherOnly)
{
    const Withdrawal withdrawal(site);
    BOOST_REQUIRE(holdsWithin(Core::Millis(2500), [this] { return statusOf(0, "r-1", "/audit/7") == 200; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    site.objects().setUnavailable(true);
    site.startEntryVm(1);
    site.waitUntilReady(1);
    BOOST_REQUIRE(holdsWithin(Core::Millis(5000), [this] { return statusOf(1, "r-2", "/audit/7") == 200; }));
    Withdrawal::checkNothingWithdrawnIsUsed(*this);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenOneIsStopped)

BOOST_AUTO_TEST_CASE(CompletesOpenRequestsAndReportsNotReady)
{
    auto openRequest = std::async(std::launch::async, [this] { return statusOf(0, "r-1"); });
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    site.process(0).signal(SIGTERM);
    BOOST_TEST(openRequest.get() == 200);
    BOOST_TEST(holdsWithin(Core::Millis(500), [this] { return site.readiness(0) == 503; }));
    // Callers with an old look-up answer are still served, and asked to close the connection.
    const auto lateReply = site.send(0, "r-2");
    BOOST_REQUIRE(lateReply);
    BOOST_TEST(lateReply->status == 200);
    BOOST_TEST(lateReply->headers.at("Connection") == "close");
    BOOST_TEST(site.process(0).wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
