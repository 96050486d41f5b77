#include "platform/platformsettings.h"

#include "app/forwarding/placementoptions.h"
#include "platform/jsonvalues.h"

#include <boost/test/unit_test.hpp>

namespace {

const std::string valid = R"({"node":"front-1","ip":"10.1.0.1","zone":"atl-a","region":"atl","zones":{"atl-a":"atl"},
  "internal_port_range":[7540,7555],"seeds":["10.1.0.1:8544"],
  "listen":{"front":"10.1.0.1:8548","ready":"10.1.0.1:8542","control":"10.1.0.1:8544","directory":"10.1.0.1:8546"},
  "limits":{"cores":1,"memory_mb":260,"max_fds":4100},
  "bounds":{"grace":"6s","drain":"4000ms","ttl_max":"5s","retry_budget_ratio":0.2,"retry_slack":60,
    "quota_window":"4s","quota_overshoot":0.05,"quota_slack":12},
  "platform":{"address":"10.200.1.7:8541"},"something_new":[1,2]})";

} // namespace

BOOST_AUTO_TEST_SUITE(TheSettingsOfAProcess)

BOOST_AUTO_TEST_CASE(AreDecoded)
{
    const auto settings = Platform::decodeSettings(valid);
    BOOST_REQUIRE(settings);
    BOOST_TEST(settings->host.front.value() == "10.1.0.1:8548");
    BOOST_TEST(settings->host.heartbeats.value() == "10.1.0.1:7540");
    BOOST_TEST((settings->host.stopTimeout == Core::Millis(6000)));
    BOOST_TEST((settings->host.lookupLifetime == Core::Millis(2000)));
    BOOST_TEST((settings->host.batchingDelay == Core::Millis(800)));
    BOOST_TEST(settings->host.processor.value() == 0);
    BOOST_TEST((settings->host.quotaBounds.window == Core::Millis(4000)));
    BOOST_TEST(settings->host.quotaBounds.overshoot == 0.05);
    BOOST_TEST(settings->host.quotaBounds.slack == 12);
    BOOST_TEST(settings->regions.at(Core::FailureDomainId("atl-a")).value() == "atl");
}

BOOST_AUTO_TEST_CASE(GiveTheProcessorTimeOfTheVm)
{
    auto text = valid;
    const std::string cores = R"("cores":1,)";
    text.replace(text.find(cores), cores.size(), R"("cores":2,"cpu_share":0.25,)");
    const auto settings = Platform::decodeSettings(text);
    BOOST_REQUIRE(settings);
    BOOST_TEST(settings->host.processor.value() == 0.5);
}

BOOST_AUTO_TEST_CASE(AreRefusedWithAllTheirProblemsAtOnce)
{
    const auto settings = Platform::decodeSettings(R"({"node":7,"bounds":{"grace":"6 minutes"}})");
    BOOST_REQUIRE(!settings);
    const auto text = describe(settings.error());
    for (const auto* problem :
        { "/node", "/zone", "/listen/front", "/bounds/grace", "/bounds/drain", "/platform/address", "SIGHUP" })
        BOOST_TEST(text.find(problem) != std::string::npos, problem << " in " << text);
}

BOOST_AUTO_TEST_CASE(AreRefusedWhenTheyCannotBeRead)
{
    BOOST_TEST(!Platform::decodeSettings("node = 1"));
    BOOST_TEST(!Platform::readSettings("/no/such/file"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ATime)

BOOST_AUTO_TEST_CASE(HasANumberAndAUnit)
{
    BOOST_TEST((*Platform::parseDuration("1500ms") == Core::Millis(1500)));
    BOOST_TEST((*Platform::parseDuration("2.5s") == Core::Millis(2500)));
    for (const auto* text : { "", "ms", "5", "5m", "-1s", "1s ", "nans", "1e400s" })
        BOOST_TEST(!Platform::parseDuration(text), text);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheWeightsOfPlacement)

BOOST_AUTO_TEST_CASE(AreRefusedWithAllTheirProblemsAtOnce)
{
    Forwarding::PlacementSettings settings;
    BOOST_TEST(App::checkPlacement(settings).has_value());
    settings.replicas = 0;
    settings.replicaPrice = -1;
    settings.failureCost = Core::Millis(-5);
    const auto checked = App::checkPlacement(settings);
    BOOST_REQUIRE(!checked);
    for (const auto* problem : { "replicas", "replica-price", "costs" })
        BOOST_TEST(checked.error().message.find(problem) != std::string::npos, problem);
}

BOOST_AUTO_TEST_SUITE_END()
