#include "clientblocks/addressparser.h"
#include "clientblocks/jsonclientblocks.h"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(AClientsAddress)

BOOST_AUTO_TEST_CASE(IsParsedInBothFamilies)
{
    const auto ipv4 = ClientBlocks::parseAddress("203.0.113.7");
    BOOST_REQUIRE(ipv4);
    BOOST_TEST(Steering::blockOf(*ipv4).prefix == 0xCB0071U);
    const auto ipv6 = ClientBlocks::parseAddress("2001:db8:1:2::7");
    BOOST_REQUIRE(ipv6);
    BOOST_TEST(Steering::blockOf(*ipv6).prefix == 0x20010DB80001U);
    BOOST_TEST((ClientBlocks::parseAddress("::ffff:203.0.113.7") == ipv4));
}

BOOST_AUTO_TEST_CASE(ThatIsMalformedIsRefused)
{
    for (const auto* text : { "", "203.0.113", "client", "203.0.113.7:80", "1.2.3.4.5" })
        BOOST_TEST(!ClientBlocks::parseAddress(text));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ClientBlocksInTheStore)

const ClientBlocks::JsonClientBlocks decoder;

BOOST_AUTO_TEST_CASE(AreDecodedAsDocumented)
{
    const auto manifest = decoder.manifest(
        R"({"name":"a","chunks":2,"sites":[{"name":"atlanta","failureDomains":["atl-1","atl-2"]}]})");
    BOOST_REQUIRE(manifest);
    BOOST_TEST(manifest->chunks == 2U);
    BOOST_TEST(manifest->sites.at(0).failureDomains.size() == 2U);
    const auto ranges = decoder.chunk(R"({"runs":[["203.0.113.0",16,0],["2001:db8::",1,0]]})");
    BOOST_REQUIRE(ranges);
    BOOST_TEST(ranges->at(0).count == 16U);
    BOOST_TEST((ranges->at(1).first.family == Core::AddressFamily::IPv6));
}

BOOST_AUTO_TEST_CASE(ThatAreMalformedAreTypedErrors)
{
    for (const auto* text : { "", "[]", R"({"runs":[["x",1,0]]})", R"({"runs":[["10.0.0.0",-1,0]]})",
             R"({"runs":[["10.0.0.0",1,70000]]})", R"({"runs":[["10.0.0.0",1]]})" }) {
        const auto ranges = decoder.chunk(text);
        BOOST_REQUIRE(!ranges);
        BOOST_TEST((ranges.error().kind == Core::ErrorKind::InvalidDocument));
    }
    BOOST_TEST(!decoder.manifest(R"({"name":"a"})"));
}

BOOST_AUTO_TEST_SUITE_END()
