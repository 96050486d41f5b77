#include "platform/objectcodec.h"

#include "platform/oddtexts.h"

#include <boost/test/unit_test.hpp>

namespace {

struct CodecFixture {
    static auto item(const std::string& text) -> Ports::CollectionItem
    {
        return { "i-1", Ports::StoreRevision(5), text };
    }
    static auto upstream(const std::string& info, const std::string& status) -> Ports::CollectionItem
    {
        return item(R"({"metadata":{"name":"i-1"},"spec":{"address":"10.0.0.1:80","born":1700,"info":)" + info
            + R"(},"status":)" + status + "}");
    }

    /// Returns a configuration with the given organisations and the given routes of one host.
    static auto configurationWith(const std::string& organisations, const std::string& routes) -> std::string
    {
        return R"({"metadata":{"name":"main"},"spec":{"version":7,"services":[],
          "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout":"3000ms","idle_timeout":"15s"},
          "tenants":[)"
            + organisations + R"(],"hosts":[{"host":"desk.example","paths":[)" + routes + "]}]}}";
    }

    const std::string info = R"({"service":"pegs","version":"v1","zone":"atl-a","slots":4})";
    const std::string status = R"({"state":"ready","seq":4,"cold_left":"1500ms"})";
    const Core::Instant now { Core::Millis(10'000) };
    const Platform::ObjectCodec codec { { { Core::FailureDomainId("atl-a"), Core::RegionId("atl") } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnUpstreamsEntry, CodecFixture)

BOOST_AUTO_TEST_CASE(GivesItsAddressAndColdTime)
{
    const auto entry = codec.decodeUpstream(upstream(info, status), now);
    BOOST_REQUIRE(entry);
    BOOST_TEST(entry->target.address.value() == "10.0.0.1:80");
    BOOST_TEST(entry->target.start.value() == 1700);
    BOOST_TEST(entry->region.value() == "atl");
    BOOST_TEST(!entry->isDraining);
    BOOST_TEST((entry->coldUntil == now + Core::Millis(1500)));
}

BOOST_AUTO_TEST_CASE(IsRefusedWhenMalformed)
{
    const std::vector<Ports::CollectionItem> invalidItems { item(""), item("null"), item("[]"), item("{}"),
        item("\xff\xfe"), item(R"({"spec":null,"status":null})"), upstream("7", status), upstream("{}", status),
        upstream(info, R"({"state":"resting","seq":1,"cold_left":"0ms"})"),
        upstream(info, R"({"state":1,"seq":1,"cold_left":"0ms"})"),
        upstream(info, R"({"state":"ready","cold_left":"soon"})"),
        upstream(R"({"service":"pegs","zone":"nowhere","slots":4})", status),
        upstream(R"({"service":"pegs","zone":"atl-a","slots":"many"})", status) };
    for (const auto& invalidItem : invalidItems) {
        const auto entry = codec.decodeUpstream(invalidItem, now);
        BOOST_TEST(!entry, invalidItem.text);
        BOOST_TEST((entry.error().kind == Core::ErrorKind::InvalidMessage));
    }
}

BOOST_AUTO_TEST_CASE(GivesTheNumberOfItsReport)
{
    const auto entry = codec.decodeUpstream(upstream(info, status), now);
    BOOST_REQUIRE(entry);
    BOOST_TEST(entry->report.value() == 4U);
}

BOOST_AUTO_TEST_CASE(GivesNoNumberOfItsReportIfItIsMissingOrOdd)
{
    for (const auto* number : { "", R"(,"seq":null)", R"(,"seq":-4)", R"(,"seq":"4")", R"(,"seq":4.5)",
             R"(,"seq":1e30)", R"(,"seq":[4])", R"(,"seq":{})", R"(,"seq":true)" }) {
        const auto odd = R"({"state":"ready","cold_left":"0ms")" + std::string(number) + "}";
        const auto entry = codec.decodeUpstream(upstream(info, odd), now);
        BOOST_REQUIRE_MESSAGE(entry.has_value(), number);
        BOOST_TEST(entry->report.value() == 0U, number);
    }
}

BOOST_AUTO_TEST_SUITE(OfAnotherWriter)

BOOST_AUTO_TEST_CASE(NamesNoUpstreamWhenItsAddressCannotBeUsed)
{
    for (const auto* address : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:-1",
             "10.0.0.1:http", "10.0.0.1", "0.0.0.0:80", "300.0.0.1:80", "" }) {
        const auto entry = codec.decodeUpstream(item(R"({"spec":{"address":")" + std::string(address)
                                                    + R"(","born":1,"info":)" + info + R"(},"status":)" + status + "}"),
            now);
        BOOST_REQUIRE_MESSAGE(!entry, address);
        BOOST_TEST((entry.error().kind == Core::ErrorKind::InvalidMessage), address);
    }
}

BOOST_AUTO_TEST_CASE(NamesNoUpstreamWhenANumberIsOutOfRange)
{
    for (const auto* slots : { "0", "-1", "65537", "4294967300", "1e30", "4.5", "true" }) {
        const auto odd = R"({"service":"pegs","zone":"atl-a","slots":)" + std::string(slots) + "}";
        BOOST_TEST(!codec.decodeUpstream(upstream(odd, status), now), slots);
    }
    for (const auto* coldTime : { "1e300s", "99999999999999999999s", "-1s", "infs", "nanms" }) {
        const auto odd = R"({"state":"ready","seq":4,"cold_left":")" + std::string(coldTime) + R"("})";
        BOOST_TEST(!codec.decodeUpstream(upstream(info, odd), now), coldTime);
    }
    for (const auto* start : { "1.5", "1e30", "18446744073709551615", "null" }) {
        const auto entry = codec.decodeUpstream(item(R"({"spec":{"address":"10.0.0.1:80","born":)" + std::string(start)
                                                    + R"(,"info":)" + info + R"(},"status":)" + status + "}"),
            now);
        BOOST_TEST(!entry, start);
    }
}

BOOST_AUTO_TEST_CASE(NamesNoUpstreamWhenItsNameCannotBeSentInAHeader)
{
    for (const auto* name : { "", "i 1", "i-1\r\nForged: 1", "i-\xff" }) {
        auto odd = upstream(info, status);
        odd.name = name;
        BOOST_TEST(!codec.decodeUpstream(odd, now), name);
    }
}

BOOST_AUTO_TEST_CASE(NamesNoUpstreamWhenAnyPartIsOdd)
{
    for (const auto& [problem, text] : PlatformTest::oddTexts()) {
        BOOST_TEST(!codec.decodeUpstream(item(R"({"spec":)" + text + R"(,"status":null})"), now), problem);
        BOOST_TEST(!codec.decodeUpstream(upstream(text, status), now), problem);
        BOOST_TEST(!codec.decodeUpstream(upstream(info, text), now), problem);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AConfiguration, CodecFixture)

BOOST_AUTO_TEST_CASE(GivesRoutesServicesAndLimits)
{
    const auto configuration = codec.decodeConfiguration(item(R"({"metadata":{"name":"main"},"spec":{"version":7,
      "services":[{"name":"pegs","health_path":"/health","cold_start":"3s","cold_per_s":4.1}],
      "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout":"3000ms","idle_timeout":"15s"},
      "hosts":[{"host":"desk.example","paths":[{"name":"r-1","path_prefix":"/stock/","kind":"idempotent",
        "timeout":"2000ms","target_latency":"400ms","priority":0,"attempts":2,"sticky":true,"home_regions":["atl"],
        "split":[{"service":"pegs","weight":90},{"service":"new","weight":10}]}]}]}})"));
    BOOST_REQUIRE(configuration);
    const auto route = (*configuration)->routes.find("desk.example", "/stock/7");
    BOOST_REQUIRE(route);
    BOOST_TEST(route->isIdempotent);
    BOOST_TEST(route->services.size() == 2U);
    BOOST_TEST(route->homes.front().value() == "atl");
    BOOST_TEST((route->timeout == Core::Millis(2000)));
    BOOST_TEST((*configuration)->services.at(Core::ServiceId("pegs")).coldRate == 4.1);
}

BOOST_AUTO_TEST_CASE(GivesRepeatableKindsAndAnonymousRoutes)
{
    const auto configuration = codec.decodeConfiguration(item(configurationWith("", R"(
        {"name":"r-1","path_prefix":"/files/","kind":"download","timeout":"2s","target_latency":"1s","attempts":2,
         "service":"pegs","anonymous":true},
        {"name":"r-2","path_prefix":"/holds/","kind":"non_idempotent","timeout":"2s","target_latency":"1s",
         "attempts":2,"service":"pegs"})")));
    BOOST_REQUIRE(configuration);
    const auto files = (*configuration)->routes.find("desk.example", "/files/1");
    const auto holds = (*configuration)->routes.find("desk.example", "/holds/1");
    BOOST_REQUIRE((files && holds));
    BOOST_TEST(files->isIdempotent);
    BOOST_TEST(files->isAnonymous);
    BOOST_TEST(!holds->isIdempotent);
    BOOST_TEST(!holds->isAnonymous);
}

BOOST_AUTO_TEST_SUITE(WithOrganisations)

BOOST_AUTO_TEST_CASE(GivesTheirKeysPriorityRegionsAndQuota)
{
    const auto configuration = codec.decodeConfiguration(item(configurationWith(
        R"({"name":"crews","api_keys":["k1","k2"],"priority":2,"rate_per_s":30,"burst":15,"home_regions":["atl"]},
           {"name":"desks","api_keys":["k3"],"rate_per_s":0,"burst":9})",
        "")));
    BOOST_REQUIRE(configuration);
    BOOST_TEST((*configuration)->problems.empty());
    const auto crews = (*configuration)->organisations.find(Organisations::ApiKey("k2"));
    BOOST_REQUIRE(crews);
    BOOST_TEST(crews->id.value() == "crews");
    BOOST_TEST(crews->priority.value() == 2);
    BOOST_TEST(crews->homes.front().value() == "atl");
    BOOST_TEST((crews->quota == Organisations::Quota { 30, 15 }));
    const auto desks = (*configuration)->organisations.find(Organisations::ApiKey("k3"));
    BOOST_REQUIRE(desks);
    BOOST_TEST(!desks->priority.has_value());
    BOOST_TEST(!desks->quota.has_value());
}

BOOST_AUTO_TEST_CASE(KeepsTheOthersIfOneIsOddAndNamesNoKey)
{
    for (const auto* odd : { R"({"name":7,"api_keys":["secret"]})", R"({"api_keys":["secret"]})", "null", "7",
             R"({"name":"odd","api_keys":"secret"})", R"({"name":"odd","api_keys":[["secret"]]})",
             R"({"name":"odd","api_keys":["secret"],"rate_per_s":"many"})",
             R"({"name":"odd","api_keys":["secret"],"rate_per_s":3,"burst":-1})",
             R"({"name":"crews","api_keys":["secret"]})", R"({"name":"odd","api_keys":[""]})" }) {
        const auto configuration = codec.decodeConfiguration(
            item(configurationWith(R"({"name":"crews","api_keys":["k1"]},)" + std::string(odd), "")));
        BOOST_REQUIRE_MESSAGE(configuration, odd);
        BOOST_TEST((*configuration)->organisations.find(Organisations::ApiKey("k1")) != nullptr, odd);
        BOOST_TEST((*configuration)->organisations.find(Organisations::ApiKey("secret")) == nullptr, odd);
        BOOST_REQUIRE_MESSAGE((*configuration)->problems.size() == 1U, odd);
        BOOST_TEST(describe((*configuration)->problems.front()).find("secret") == std::string::npos, odd);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(IsRefusedAsAWholeWhenAPartIsInvalid)
{
    for (const auto* text :
        { "{}", R"({"spec":{"version":"seven"}})", R"({"spec":{"version":7,"services":{},"hosts":7}})" })
        BOOST_TEST(!codec.decodeConfiguration(item(text)), text);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AnEntryVmsEntry, CodecFixture)

BOOST_AUTO_TEST_CASE(IsReadAsItWasWritten)
{
    EntryFleet::EntryVmEntry entry;
    entry.id = Core::EntryVmId("front-1");
    entry.start = Core::ProcessStartId(42);
    entry.failureDomain = Core::FailureDomainId("atl-a");
    entry.front = Core::Address("10.0.0.1:80");
    entry.heartbeats = Core::Address("10.0.0.1:81");
    entry.peers = Core::Address("10.0.0.1:82");
    auto written = codec.encodeEntryVm(entry);
    written.text = R"({"spec":)" + written.text + "}";
    const auto read = codec.decodeEntryVm(written);
    BOOST_REQUIRE(read);
    BOOST_TEST(read->id.value() == "front-1");
    BOOST_TEST(read->start.value() == 42);
    BOOST_TEST(read->region.value() == "atl");
    BOOST_TEST(read->peers.value() == "10.0.0.1:82");
}

BOOST_AUTO_TEST_CASE(IsRefusedWhenAnAddressCannotBeUsed)
{
    for (const auto* address : { "10.0.0.1:65536", "10.0.0.1:0", "nowhere", "" }) {
        const auto entry = codec.decodeEntryVm(item(R"({"spec":{"start":1,"failureDomain":"atl-a","front":")"
            + std::string(address) + R"(","heartbeats":"10.0.0.1:81","peers":"10.0.0.1:82"}})"));
        BOOST_TEST(!entry, address);
    }
}

BOOST_AUTO_TEST_SUITE_END()
