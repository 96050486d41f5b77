#include "fakes/booking/bookingfleet.h"
#include "ledgerpeer/ledgercodec.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

namespace bdata = boost::unit_test::data;

constexpr Core::Duration shortDelay = Core::Millis(50);

struct TwoEntryVms {
    /// Sends the payload from vm-1 to vm-0 and returns the reply.
    auto exchange(const std::string& kind, const std::string& payload) -> Core::Result<std::string>
    {
        std::optional<Core::Result<std::string>> reply;
        fleet.node(1)->ports.call(fleet.node(0)->vm.peerAddress, { kind, payload }, Core::Millis(20),
            [&](Core::Result<std::string> result) { reply = std::move(result); });
        fleet.world.runFor(shortDelay);
        return *reply;
    }

    Fakes::BookingFleet fleet { 1, 2 };
};

const std::vector<std::string> kinds { "ledger.intent", "ledger.outcome", "ledger.query", "ledger.relay" };
/// Empty payload, truncated array, empty array, map, deep nesting, and text that is not CBOR.
const std::vector<std::string> malformed { "", "\x84\x01", "\x80", "\xa1\x61\x61\x01", std::string(64, '\x81'),
    "POST / HTTP/1.1" };

} // namespace

BOOST_FIXTURE_TEST_SUITE(AMalformedLedgerMessage, TwoEntryVms)

BOOST_DATA_TEST_CASE_F(
    TwoEntryVms, GetsATypedErrorAndHarmsNothing, bdata::make(kinds) * bdata::make(malformed), kind, payload)
{
    const auto reply = exchange(kind, payload);
    BOOST_REQUIRE(!reply);
    BOOST_TEST((reply.error().kind == Core::ErrorKind::InvalidMessage));
    const auto key = fleet.freshKey(0);
    const auto booked = fleet.send(1, *key);
    fleet.world.runFor(shortDelay);
    BOOST_REQUIRE(*booked);
    BOOST_TEST(std::holds_alternative<Core::Answer>(**booked));
}

BOOST_AUTO_TEST_CASE(ThatNamesAnUnknownEnumeratorIsRefused)
{
    const auto payload = LedgerPeer::encode(Ledger::IntentOutcome::Unreachable);
    BOOST_TEST(LedgerPeer::decodeIntentOutcome(payload).has_value());
    BOOST_TEST(!LedgerPeer::decodeIntentOutcome("\x05").has_value());
    BOOST_TEST(!LedgerPeer::decodeIntentOutcome("\x20").has_value());
    BOOST_TEST(!LedgerPeer::decodeIntentOutcome("\xf5").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ARelayedRequest, TwoEntryVms)

BOOST_AUTO_TEST_CASE(KeepsItsContentAndItsRemainingTime)
{
    Core::ServiceRequest request;
    request.id = Core::RequestId("r-1");
    request.service = Core::ServiceId("booking");
    request.key = fleet.freshKey(0);
    request.body = std::string("\x00\xff", 2);
    request.deadline = Core::Instant(Core::Millis(300));
    const auto decoded = LedgerPeer::decodeRequest(
        LedgerPeer::encode(request, Core::Instant(Core::Millis(100))), Core::Instant(Core::Millis(5000)));
    BOOST_REQUIRE(decoded);
    BOOST_TEST((decoded->deadline == Core::Instant(Core::Millis(5200))));
    BOOST_TEST(decoded->body == request.body);
    BOOST_TEST((decoded->key == request.key));
}

BOOST_AUTO_TEST_SUITE_END()
