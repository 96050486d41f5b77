#include "core/requestkey.h"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(RequestKeys)

BOOST_AUTO_TEST_SUITE(ACallerAppendsItsUniquePart)

BOOST_AUTO_TEST_CASE(ThenTheTextParsesBackToTheSameKey)
{
    const Core::RequestKey key {
        { Core::EntryVmId("atl-1-vm-1"), { 1, 2 }, Core::Epoch(7), Core::EntryVmId("sav-1-vm-1"), { 3, 4 } }, "crew-12"
    };
    const auto parsed = Core::parseRequestKey(toString(key));
    BOOST_REQUIRE(parsed);
    BOOST_TEST((*parsed == key));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ACallerSendsADamagedKey)

BOOST_AUTO_TEST_CASE(ThenTheErrorHasARemedy)
{
    for (const auto* text : { "", "a:b", "vm:zz:1::00000000000000000000000000000000:x",
             "vm:00000000000000000000000000000001:x::00000000000000000000000000000000:x",
             "vm:00000000000000000000000000000001:1::00000000000000000000000000000000:",
             "vm:00000000000000000000000000000001:1::00000000000000000000000000000000:a b" }) {
        const auto parsed = Core::parseRequestKey(text);
        BOOST_TEST(!parsed.has_value(), text);
        BOOST_TEST((parsed.error().kind == Core::ErrorKind::InvalidArgument));
        BOOST_TEST(!parsed.error().remedy.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
