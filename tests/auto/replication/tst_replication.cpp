#include "replicationcluster.h"

#include <boost/test/unit_test.hpp>

namespace {

using std::chrono::seconds;

constexpr std::uint64_t seed = 23;
constexpr Core::Millis propagationLimit { 3000 };
const std::vector<ReplicationCluster::NodeSpec> threeDomains { { "a1", "A" }, { "a2", "A" }, { "a3", "A" },
    { "b1", "B" }, { "b2", "B" }, { "c1", "C" } };

struct ClusterFixture : ReplicationCluster {
    ClusterFixture()
        : ReplicationCluster(seed)
    {
    }
    /// Partitions a failure domain from the others and from the store.
    auto isolate(const std::string& domain) -> void
    {
        for (const auto& inside : threeDomains) {
            if (inside.failureDomain != domain)
                continue;
            store.disconnect(addressOf(inside.vm));
            for (const auto& outside : threeDomains) {
                if (outside.failureDomain != domain)
                    world.cut(addressOf(inside.vm), addressOf(outside.vm));
            }
        }
    }
    auto heal() -> void
    {
        world.heal();
        store.heal();
    }
    auto setOutage(bool outage) -> void { store.setFaults({ .outage = outage }); }
};

struct RunningFleetFixture : ClusterFixture {
    RunningFleetFixture()
    {
        putDocument(documentWithWorth(1));
        startAll(threeDomains);
        world.runFor(seconds(15));
        BOOST_REQUIRE(allHaveVersion(Core::Version(1)));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AFleetInThreeFailureDomains, RunningFleetFixture)

BOOST_AUTO_TEST_SUITE(WhenAnEditIsAccepted)

BOOST_AUTO_TEST_CASE(ItIsInForceEverywhereWithinThreeSeconds)
{
    const auto version = putDocument(documentWithWorth(2));
    world.runFor(propagationLimit);
    BOOST_TEST(allHaveVersion(version));
}

BOOST_AUTO_TEST_CASE(ItIsConfirmedInEachFailureDomain)
{
    const auto version = putDocument(documentWithWorth(2));
    world.runFor(seconds(8));
    for (const auto* domain : { "A", "B", "C" }) {
        const auto status = statusOf("a3", domain);
        BOOST_TEST(status.isConfirmed, domain << ": " << status.reason);
        BOOST_TEST(status.lowest == version);
    }
}

BOOST_AUTO_TEST_CASE(ItIsAppliedEvenWhileWatchesAreStalled)
{
    store.setFaults({ .stallWatches = true });
    world.runFor(seconds(5));
    const auto version = putDocument(documentWithWorth(2));
    world.runFor(seconds(4));
    BOOST_TEST(allHaveVersion(version));
}

BOOST_AUTO_TEST_CASE(OnlyTheWatchersCallTheStore)
{
    const auto before = store.calls();
    world.runFor(seconds(100));
    const auto callsPerSecond = static_cast<double>(store.calls() - before) / 100;
    // Five watchers for each of two objects, each of which calls the store about once per second.
    BOOST_TEST(callsPerSecond < 2 * 5 * 1.1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheStoreIsUnavailableForAnHour)

BOOST_AUTO_TEST_CASE(TheVersionInForceStaysAndTheStatusReportsItAsUnconfirmed)
{
    setOutage(true);
    world.runFor(std::chrono::hours(1));
    BOOST_TEST(allHaveVersion(Core::Version(1)));
    const auto status = statusOf("b1", "A");
    BOOST_TEST(!status.isConfirmed);
    BOOST_TEST(status.reason.find("not confirmed") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ARestartedMemberFetchesTheVersionFromItsPeers)
{
    setOutage(true);
    world.runFor(seconds(60));
    start(threeDomains[1], { addressOf("a1") });
    world.runFor(seconds(8));
    BOOST_TEST(versionAt("a2") == 1U);
    BOOST_TEST(nodes.at("a2")->fleet.current()->entryVms.size() == threeDomains.size());
}

BOOST_AUTO_TEST_CASE(ARestartedMemberTakesTheHighestOfItsPeersAndNotTheFirstAnswer)
{
    isolate("C");
    const auto version = putDocument(documentWithWorth(2));
    world.runFor(seconds(5));
    BOOST_TEST(versionAt("c1") == 1U);
    setOutage(true);
    heal();
    // At first, only the member with the old version responds.
    for (const auto* slow : { "a2", "a3", "b1", "b2" })
        world.pause(addressOf(slow));
    start(threeDomains[0], { addressOf("c1"), addressOf("a2") });
    for (int step = 0; step < 1000; ++step) {
        if (step == 150) {
            for (const auto* slow : { "a2", "a3", "b1", "b2" })
                world.resume(addressOf(slow));
        }
        world.runFor(Core::Millis(10));
        BOOST_TEST((versionAt("a1") == 0 || versionAt("a1") == version.value()));
    }
    BOOST_TEST(versionAt("a1") == version.value());
}

BOOST_AUTO_TEST_CASE(AMemberWithoutReachablePeersAppliesNoVersion)
{
    setOutage(true);
    for (const auto& nodeSpec : threeDomains)
        stop(nodeSpec.vm);
    start(threeDomains[0]);
    world.runFor(seconds(30));
    BOOST_TEST(versionAt("a1") == 0U);
    setOutage(false);
    world.runFor(seconds(2));
    BOOST_TEST(versionAt("a1") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAFailureDomainIsPartitioned)

BOOST_AUTO_TEST_CASE(ItKeepsItsVersionAndReportsItAsUnconfirmed)
{
    isolate("C");
    const auto version = putDocument(documentWithWorth(2));
    world.runFor(seconds(30));
    BOOST_TEST(versionAt("c1") == 1U);
    BOOST_TEST(versionAt("b2") == version.value());
    BOOST_TEST(!statusOf("c1", "C").isConfirmed);
    BOOST_TEST(!statusOf("a1", "C").isConfirmed);
    BOOST_TEST(statusOf("a1", "C").reason.find("no contact") != std::string::npos);
    BOOST_TEST(statusOf("a1", "B").isConfirmed);
}

BOOST_AUTO_TEST_CASE(ItCatchesUpWhenThePartitionHeals)
{
    isolate("C");
    const auto version = putDocument(documentWithWorth(2));
    world.runFor(seconds(30));
    heal();
    world.runFor(seconds(20));
    BOOST_TEST(allHaveVersion(version));
    BOOST_TEST(statusOf("a1", "C").isConfirmed, statusOf("a1", "C").reason);
}

BOOST_AUTO_TEST_CASE(PeersUpdateADomainThatIsCutOffFromTheStoreOnly)
{
    store.disconnect(addressOf("b1"));
    store.disconnect(addressOf("b2"));
    const auto version = putDocument(documentWithWorth(2));
    world.runFor(seconds(5));
    BOOST_TEST(versionAt("b1") == version.value());
    BOOST_TEST(versionAt("b2") == version.value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnInvalidDocumentAppearsInTheStore)

BOOST_AUTO_TEST_CASE(TheLastValidOneStaysInForceAndTheStatusGivesTheReason)
{
    const auto invalid = putDocument(R"({"sections": {"desk": {"services": {"stock": {"worth": -3}}}}})");
    world.runFor(seconds(20));
    BOOST_TEST(allHaveVersion(Core::Version(1)));
    for (const auto& nodeSpec : threeDomains) {
        const auto status = nodes.at(nodeSpec.vm)->replicator.configurationStatus();
        BOOST_TEST(status.refusedVersion == invalid);
        BOOST_TEST(status.refusalReason.find("services.stock.worth") != std::string::npos);
        BOOST_TEST(!statusOf(nodeSpec.vm, nodeSpec.failureDomain).isConfirmed);
    }
}

BOOST_AUTO_TEST_CASE(TheNextValidOneIsApplied)
{
    putDocument("{");
    world.runFor(seconds(5));
    const auto version = putDocument(documentWithWorth(4));
    world.runFor(propagationLimit);
    BOOST_TEST(allHaveVersion(version));
    BOOST_TEST(nodes.at("a3")->replicator.configurationStatus().refusedVersion == Core::Version(0));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenWatchersStop)

BOOST_AUTO_TEST_CASE(OthersTakeOver)
{
    stop("a1");
    stop("b1");
    world.runFor(seconds(3));
    const auto version = putDocument(documentWithWorth(2));
    world.runFor(propagationLimit);
    BOOST_TEST(allHaveVersion(version));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
